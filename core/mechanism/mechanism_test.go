package mechanism_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/mechanism"
)

func TestOnlyNamedMechanismsAreDisabled(t *testing.T) {
	for _, d := range []mechanism.Disabled{nil, {}} {
		for _, n := range mechanism.All() {
			require.True(t, d.Enabled(n))
		}
	}
	d, err := mechanism.Parse([]string{"gates", "detours", "gates"})
	require.NoError(t, err)
	require.False(t, d.Enabled(mechanism.Gates))
	require.True(t, d.Enabled(mechanism.Relays))
	require.Equal(t, []string{"detours", "gates"}, d.Names())
}

func TestParseRejectsUnknownName(t *testing.T) {
	_, err := mechanism.Parse([]string{"gates", "gate"})
	var unknown *mechanism.UnknownError
	require.ErrorAs(t, err, &unknown)
	require.Equal(t, "gate", unknown.Name)
	require.ErrorContains(t, err, "standing-leader")
}
