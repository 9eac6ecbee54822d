package catalog

import (
	"fmt"

	"github.com/dotterelswitch/dotterelswitch/core/quota"
)

// Team is an organisation whose callers share the databases with other teams.
type Team struct {
	// Name is sent to the database members to identify the caller.
	Name  string
	Limit quota.Limit
}

// TeamCredentials is a team with the credentials of its callers.
type TeamCredentials struct {
	Team
	Credentials []Credential
}

// Teams holds the teams of one configuration version. It is immutable. The nil
// value requires no key: all callers belong to one team with an empty name.
type Teams struct {
	byName       map[string]Team
	byCredential map[Credential]Team
}

// DuplicateKeyError reports a key that two teams have, so that it does not
// identify the caller's team.
type DuplicateKeyError struct {
	Fingerprint   string
	First, Second string
}

func (e *DuplicateKeyError) Error() string {
	return fmt.Sprintf("teams %s and %s hold the same key (fingerprint %s)", e.First, e.Second, e.Fingerprint)
}

// DuplicateTeamError reports a name that two teams have.
type DuplicateTeamError struct{ Name string }

func (e *DuplicateTeamError) Error() string { return "there are two teams " + e.Name }

// NewTeams indexes the teams by name and credential. The error is a
// *DuplicateKeyError or a *DuplicateTeamError. A team may list a key twice.
func NewTeams(teams []TeamCredentials) (*Teams, error) {
	t := &Teams{byName: make(map[string]Team, len(teams)), byCredential: map[Credential]Team{}}
	for _, team := range teams {
		if _, found := t.byName[team.Name]; found {
			return nil, &DuplicateTeamError{Name: team.Name}
		}
		t.byName[team.Name] = team.Team
		for _, c := range team.Credentials {
			if other, found := t.byCredential[c]; found && other.Name != team.Name {
				return nil, &DuplicateKeyError{Fingerprint: c.Fingerprint(), First: other.Name, Second: team.Name}
			}
			t.byCredential[c] = team.Team
		}
	}
	return t, nil
}

// Identify returns the team that a credential belongs to.
func (t *Teams) Identify(c Credential) (Team, bool) {
	if t == nil {
		return Team{}, true
	}
	team, found := t.byCredential[c]
	return team, found
}

func (t *Teams) Team(name string) (Team, bool) {
	if t == nil {
		return Team{}, name == ""
	}
	team, found := t.byName[name]
	return team, found
}

// Len is the number of teams.
func (t *Teams) Len() int {
	if t == nil {
		return 0
	}
	return len(t.byName)
}
