package peerpoll

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/gates"
	"github.com/dotterelswitch/dotterelswitch/core/store"
)

func answer(name string, revision store.Revision, version uint64, reachesStore bool) Answer {
	return Answer{Host: gates.Host{Name: name}, Progress: &Progress{Revision: revision, ConfigVersion: version, ReachesStore: reachesStore}}
}

// TestConfigurationComesFromAnyHostChangesOnlyFromThoseThatReachTheStore guards against
// one condition for both: a configuration has a version, a member's entry may be outdated.
func TestConfigurationComesFromAnyHostChangesOnlyFromThoseThatReachTheStore(t *testing.T) {
	own := Progress{Revision: 10, ConfigVersion: 2}
	away, reaches := answer("away", 30, 4, false), answer("reaches", 20, 3, true)
	source, found := ConfigSource(own, []Answer{reaches, away})
	require.True(t, found)
	require.Equal(t, "away", source.Name)
	source, found = ChangesSource(own, []Answer{away, reaches})
	require.True(t, found)
	require.Equal(t, "reaches", source.Name)
	_, found = ChangesSource(own, []Answer{away, answer("behind", 10, 2, true)})
	require.False(t, found)
	_, found = ConfigSource(own, []Answer{answer("equal", 20, 2, true)})
	require.False(t, found)
}

// TestHostThatDoesNotTellIsAskedForChanges: hosts of an earlier release do not say what
// they know.
func TestHostThatDoesNotTellIsAskedForChanges(t *testing.T) {
	own, silent := Progress{Revision: 10}, Answer{Host: gates.Host{Name: "earlier"}}
	source, found := ChangesSource(own, []Answer{silent})
	require.True(t, found)
	require.Equal(t, "earlier", source.Name)
	source, _ = ChangesSource(own, []Answer{silent, answer("newer", 11, 0, true)})
	require.Equal(t, "newer", source.Name)
	_, found = ConfigSource(own, []Answer{silent})
	require.False(t, found)
}
