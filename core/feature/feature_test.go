package feature_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/feature"
)

func TestOnlyNamedFeaturesAreDisabled(t *testing.T) {
	for _, features := range []feature.Set{nil, {}} {
		for _, n := range feature.All() {
			require.True(t, features.Enabled(n))
		}
	}
	features, err := feature.Parse([]string{"gates", "detours", "gates"})
	require.NoError(t, err)
	require.False(t, features.Enabled(feature.Gates))
	require.True(t, features.Enabled(feature.Relays))
	require.Equal(t, []string{"detours", "gates"}, features.Disabled())
}

func TestParseRejectsUnknownName(t *testing.T) {
	_, err := feature.Parse([]string{"gates", "gate"})
	var unknown *feature.UnknownError
	require.ErrorAs(t, err, &unknown)
	require.Equal(t, "gate", unknown.Name)
	require.ErrorContains(t, err, "standing-leader")
}
