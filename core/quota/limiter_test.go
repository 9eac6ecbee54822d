package quota_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/quota"
)

var limited = limitOf(10, 10)

func TestOperationRunsBeforeItsGrant(t *testing.T) {
	limiter := quota.NewLimiter(tolerance, -time.Hour)
	require.Equal(t, quota.Admitted, limiter.Admit("a", limited, 1, 0).Verdict)
	require.Equal(t, quota.Pending, limiter.Admit("a", limited, 1, 0).Verdict, "the allowance is used up")
	require.Equal(t, 2, limiter.NextRequest("a", 0), "one unconfirmed and one waiting operation")
	require.Zero(t, limiter.NextRequest("a", 0), "one request at a time")
	run, refused := limiter.ApplyGrant("a", quota.Grant{Granted: 2}, 0)
	require.Equal(t, 1, run)
	require.Zero(t, refused)
	require.Equal(t, quota.Admitted, limiter.Admit("a", limited, 1, 0).Verdict, "the unconfirmed operation is granted")
}

// TestUnconfirmedIsGrantedFirst checks that a partial grant confirms the operations
// that have already run before it admits waiting ones.
func TestUnconfirmedIsGrantedFirst(t *testing.T) {
	limiter := quota.NewLimiter(tolerance, -time.Hour)
	limiter.Admit("a", limited, 1, 0)
	limiter.Admit("a", limited, 1, 0)
	limiter.NextRequest("a", 0)
	run, refused := limiter.ApplyGrant("a", quota.Grant{Granted: 1, RetryAfter: time.Second}, 0)
	require.Zero(t, run)
	require.Equal(t, 1, refused)
	require.Equal(t, quota.Admitted, limiter.Admit("a", limited, 1, 0).Verdict)
	d := limiter.Admit("a", limited, 1, 100*time.Millisecond)
	require.Equal(t, quota.Refused, d.Verdict, "refused at once, without a request")
	require.Equal(t, 900*time.Millisecond, d.RetryAfter)
}

// TestIsolatedHostUsesItsAllowanceOnce checks that the allowance for unconfirmed
// operations is restored only by grants, not by time.
func TestIsolatedHostUsesItsAllowanceOnce(t *testing.T) {
	limiter := quota.NewLimiter(tolerance, -time.Hour)
	admitted := 0
	for now := time.Duration(0); now < 10*time.Minute; now += 10 * time.Millisecond {
		if limiter.Admit("a", limited, 2, now).Verdict == quota.Admitted {
			admitted++
		}
		if limiter.NextRequest("a", now) > 0 {
			limiter.RequestFailed("a", now)
		}
	}
	require.Equal(t, 2, admitted)
}

// TestGrantCoversOnlyRequestedOperations checks that operations that arrive after a
// request wait for the next one.
func TestGrantCoversOnlyRequestedOperations(t *testing.T) {
	limiter := quota.NewLimiter(tolerance, -time.Hour)
	limiter.Admit("a", limited, 0, 0)
	limiter.NextRequest("a", 0)
	limiter.Admit("a", limited, 0, 0)
	run, refused := limiter.ApplyGrant("a", quota.Grant{Granted: 5}, 0)
	require.Equal(t, 1, run)
	require.Zero(t, refused)
	require.Equal(t, 1, limiter.NextRequest("a", 0))
}

func TestRefundOfAnUnconfirmedOperation(t *testing.T) {
	limiter := quota.NewLimiter(tolerance, -time.Hour)
	limiter.Admit("a", limited, 1, 0)
	limiter.Refund("a")
	require.Equal(t, quota.Admitted, limiter.Admit("a", limited, 1, 0).Verdict)
	limiter.NextRequest("a", 0)
	limiter.Refund("a")
	require.Equal(t, quota.Pending, limiter.Admit("a", limited, 1, 0).Verdict, "operations in a pending request are not refunded")
}

// TestStartedHostRunsNothingUnconfirmed checks the delay after a start: the previous
// process may have used the allowance just before it was killed.
func TestStartedHostRunsNothingUnconfirmed(t *testing.T) {
	limiter := quota.NewLimiter(tolerance, 0)
	require.Equal(t, quota.Pending, limiter.Admit("a", limited, 3, 0).Verdict)
	require.Equal(t, quota.Admitted, limiter.Admit("a", limited, 3, window).Verdict)
}

func TestTeamWithoutLimitNeedsNoCounter(t *testing.T) {
	limiter := quota.NewLimiter(tolerance, -time.Hour)
	require.Equal(t, quota.Admitted, limiter.Admit("a", quota.Limit{}, 0, 0).Verdict)
	require.Zero(t, limiter.NextRequest("a", 0))
}

// TestExhaustedGrantRefusesAllWaitingOperations guards against operations that wait
// forever: those that arrive during a request are refused with it if nothing is left.
func TestExhaustedGrantRefusesAllWaitingOperations(t *testing.T) {
	limiter := quota.NewLimiter(tolerance, -time.Hour)
	require.Equal(t, quota.Pending, limiter.Admit("a", limited, 0, 0).Verdict)
	require.Equal(t, 1, limiter.NextRequest("a", 0))
	require.Equal(t, quota.Pending, limiter.Admit("a", limited, 0, 0).Verdict)
	require.Equal(t, quota.Pending, limiter.Admit("a", limited, 0, 0).Verdict)
	run, refused := limiter.ApplyGrant("a", quota.Grant{RetryAfter: time.Second}, 0)
	require.Zero(t, run)
	require.Equal(t, 3, refused)
	require.Zero(t, limiter.NextRequest("a", 2*time.Second))
}
