package catalog_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/catalog"
)

func newTeamCredentials(name string, keys ...string) catalog.TeamCredentials {
	t := catalog.TeamCredentials{Team: catalog.Team{Name: name}}
	for _, k := range keys {
		t.Credentials = append(t.Credentials, catalog.NewCredential(k))
	}
	return t
}

func newCatalog(t *testing.T, teams ...catalog.TeamCredentials) *catalog.Catalog {
	t.Helper()
	all, err := catalog.NewTeams(teams)
	require.NoError(t, err)
	return catalog.New(catalog.Spec{Version: 1, Teams: all})
}

func TestKeyIdentifiesTeam(t *testing.T) {
	c := newCatalog(t, newTeamCredentials("schools", "k1", "k2"), newTeamCredentials("clubs", "k3"))
	for key, want := range map[string]string{"k1": "schools", "k2": "schools", "k3": "clubs"} {
		team, allowed := c.Authorize(catalog.Route{}, catalog.NewCredential(key))
		require.True(t, allowed)
		require.Equal(t, want, team.Name)
	}
}

func TestUnknownKeyIsAuthorizedOnPublicRoutesOnly(t *testing.T) {
	c := newCatalog(t, newTeamCredentials("schools", "k1"))
	_, allowed := c.Authorize(catalog.Route{}, catalog.NewCredential("revoked-key"))
	require.False(t, allowed)
	team, allowed := c.Authorize(catalog.Route{Public: true}, catalog.NewCredential("revoked-key"))
	require.True(t, allowed)
	require.Empty(t, team.Name)
}

// TestNoKeyRequiredWithoutTeams checks that a nil list of teams accepts every caller.
func TestNoKeyRequiredWithoutTeams(t *testing.T) {
	c := catalog.New(catalog.Spec{Version: 1})
	team, allowed := c.Authorize(catalog.Route{}, catalog.NewCredential("anything"))
	require.True(t, allowed)
	require.Empty(t, team.Name)
}

// TestEmptyTeamListRejectsAllCallers checks that an empty list of teams, unlike a nil
// list, rejects every caller.
func TestEmptyTeamListRejectsAllCallers(t *testing.T) {
	_, allowed := newCatalog(t).Authorize(catalog.Route{}, catalog.NewCredential("k1"))
	require.False(t, allowed)
}

func TestNewTeamsRejectsDuplicates(t *testing.T) {
	_, err := catalog.NewTeams([]catalog.TeamCredentials{newTeamCredentials("a", "secret-key"), newTeamCredentials("b", "secret-key")})
	var duplicateKey *catalog.DuplicateKeyError
	require.ErrorAs(t, err, &duplicateKey)
	require.NotContains(t, err.Error(), "secret-key", "the error must not contain the key")
	_, err = catalog.NewTeams([]catalog.TeamCredentials{newTeamCredentials("a"), newTeamCredentials("a")})
	var duplicateTeam *catalog.DuplicateTeamError
	require.ErrorAs(t, err, &duplicateTeam)
	_, err = catalog.NewTeams([]catalog.TeamCredentials{newTeamCredentials("a", "k", "k")})
	require.NoError(t, err)
}
