package mechanism_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/mechanism"
)

func TestNothingIsLeftOutUnlessNamed(t *testing.T) {
	for _, w := range []mechanism.Without{nil, {}} {
		for _, n := range mechanism.All() {
			require.True(t, w.Has(n))
		}
	}
	w, err := mechanism.Parse([]string{"gates", "detours", "gates"})
	require.NoError(t, err)
	require.False(t, w.Has(mechanism.Gates))
	require.True(t, w.Has(mechanism.Relays))
	require.Equal(t, []string{"detours", "gates"}, w.Names())
}

func TestUnknownNameIsRefused(t *testing.T) {
	_, err := mechanism.Parse([]string{"gates", "gate"})
	var unknown *mechanism.UnknownError
	require.ErrorAs(t, err, &unknown)
	require.Equal(t, "gate", unknown.Name)
	require.ErrorContains(t, err, "standing-leader")
}
