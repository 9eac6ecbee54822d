package catalog

import (
	"fmt"

	"github.com/dotterelswitch/dotterelswitch/core/quota"
)

// Team is one of the organisations whose callers share the databases.
type Team struct {
	// Name is what members are told of the caller.
	Name  string
	Limit quota.Limit
}

// TeamKeys is a team as the operators declare it, with the credentials of its
// callers.
type TeamKeys struct {
	Team
	Credentials []Credential
}

// Teams is who may call, as one version of the configuration says. It is never
// changed. The nil value asks nobody for a key: all callers are one team
// without a name.
type Teams struct {
	byName       map[string]Team
	byCredential map[Credential]Team
}

// SharedKeyError is a key that two teams hold, so that its callers cannot be
// told apart.
type SharedKeyError struct {
	Fingerprint   string
	First, Second string
}

func (e *SharedKeyError) Error() string {
	return fmt.Sprintf("teams %s and %s hold the same key (fingerprint %s)", e.First, e.Second, e.Fingerprint)
}

// DoubledTeamError is a name that two teams have.
type DoubledTeamError struct{ Name string }

func (e *DoubledTeamError) Error() string { return "there are two teams " + e.Name }

// NewTeams returns the teams. An error is a *SharedKeyError or a
// *DoubledTeamError. A key that a team lists twice counts once.
func NewTeams(teams []TeamKeys) (*Teams, error) {
	t := &Teams{byName: make(map[string]Team, len(teams)), byCredential: map[Credential]Team{}}
	for _, team := range teams {
		if _, found := t.byName[team.Name]; found {
			return nil, &DoubledTeamError{Name: team.Name}
		}
		t.byName[team.Name] = team.Team
		for _, c := range team.Credentials {
			if other, found := t.byCredential[c]; found && other.Name != team.Name {
				return nil, &SharedKeyError{Fingerprint: c.Fingerprint(), First: other.Name, Second: team.Name}
			}
			t.byCredential[c] = team.Team
		}
	}
	return t, nil
}

// Identify returns the team that holds a credential.
func (t *Teams) Identify(c Credential) (Team, bool) {
	if t == nil {
		return Team{}, true
	}
	team, found := t.byCredential[c]
	return team, found
}

// Team returns the team with a name.
func (t *Teams) Team(name string) (Team, bool) {
	if t == nil {
		return Team{}, name == ""
	}
	team, found := t.byName[name]
	return team, found
}

// Len returns how many teams there are.
func (t *Teams) Len() int {
	if t == nil {
		return 0
	}
	return len(t.byName)
}
