package platformdemo_test

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/node/platformdemo"
)

func TestGuaranteesHoldUnderEachFault(t *testing.T) {
	for _, fault := range platformdemo.Faults() {
		t.Run(string(fault), func(t *testing.T) {
			r, err := platformdemo.Run(context.Background(), platformdemo.Options{
				Hosts: 3, Callers: 6, Duration: 6 * time.Second, Fault: fault, Log: zerolog.Nop(),
			})
			require.NoError(t, err)
			require.False(t, r.HasViolations(), "%+v", r)
			require.Positive(t, r.Served)
		})
	}
}

// A team that exceeds its limit must not affect the others, and a revoked key must
// be refused.
func TestTeamLimitAndRevokedKeyAreEnforced(t *testing.T) {
	r, err := platformdemo.Run(context.Background(), platformdemo.Options{
		Hosts: 3, Callers: 6, Duration: 6 * time.Second, Fault: platformdemo.KeyRevoked, Log: zerolog.Nop(),
	})
	require.NoError(t, err)
	require.Zero(t, r.WrongTeam)
	require.Positive(t, r.Teams["colleges"].Refused)
	require.Positive(t, r.Teams["colleges"].Served)
	require.Positive(t, r.Teams["clubs"].Unauthorized)
	require.Greater(t, r.Teams["schools"].Served, 2*r.Teams["colleges"].Served)
	require.Zero(t, r.Teams["schools"].Unauthorized)
}
