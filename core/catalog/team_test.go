package catalog_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/catalog"
)

func teamKeys(name string, keys ...string) catalog.TeamKeys {
	t := catalog.TeamKeys{Team: catalog.Team{Name: name}}
	for _, k := range keys {
		t.Credentials = append(t.Credentials, catalog.NewCredential(k))
	}
	return t
}

func withTeams(t *testing.T, teams ...catalog.TeamKeys) *catalog.Catalog {
	t.Helper()
	all, err := catalog.NewTeams(teams)
	require.NoError(t, err)
	return catalog.New(catalog.Spec{Version: 1, Teams: all})
}

func TestKeyNamesItsTeam(t *testing.T) {
	c := withTeams(t, teamKeys("schools", "k1", "k2"), teamKeys("clubs", "k3"))
	for key, want := range map[string]string{"k1": "schools", "k2": "schools", "k3": "clubs"} {
		team, allowed := c.Admit(catalog.Route{}, catalog.NewCredential(key))
		require.True(t, allowed)
		require.Equal(t, want, team.Name)
	}
}

func TestUnknownKeyIsAdmittedOnPublicRoutesOnly(t *testing.T) {
	c := withTeams(t, teamKeys("schools", "k1"))
	_, allowed := c.Admit(catalog.Route{}, catalog.NewCredential("taken-away"))
	require.False(t, allowed)
	team, allowed := c.Admit(catalog.Route{Public: true}, catalog.NewCredential("taken-away"))
	require.True(t, allowed)
	require.Empty(t, team.Name)
}

// TestNoTeamsAskNobodyForAKey: deployments without teams admit every caller.
func TestNoTeamsAskNobodyForAKey(t *testing.T) {
	c := catalog.New(catalog.Spec{Version: 1})
	team, allowed := c.Admit(catalog.Route{}, catalog.NewCredential("anything"))
	require.True(t, allowed)
	require.Empty(t, team.Name)
}

// TestEmptyTeamsAdmitNobody: a list that has become empty is not the same as none.
func TestEmptyTeamsAdmitNobody(t *testing.T) {
	_, allowed := withTeams(t).Admit(catalog.Route{}, catalog.NewCredential("k1"))
	require.False(t, allowed)
}

func TestKeyOfTwoTeamsIsAnError(t *testing.T) {
	_, err := catalog.NewTeams([]catalog.TeamKeys{teamKeys("a", "secret-key"), teamKeys("b", "secret-key")})
	var shared *catalog.SharedKeyError
	require.ErrorAs(t, err, &shared)
	require.NotContains(t, err.Error(), "secret-key", "an error shows no key")
	_, err = catalog.NewTeams([]catalog.TeamKeys{teamKeys("a"), teamKeys("a")})
	var doubled *catalog.DoubledTeamError
	require.ErrorAs(t, err, &doubled)
	_, err = catalog.NewTeams([]catalog.TeamKeys{teamKeys("a", "k", "k")})
	require.NoError(t, err)
}
