package quota_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/quota"
)

var limited = limitOf(10, 10)

func TestOperationRunsBeforeItsGrant(t *testing.T) {
	m := quota.NewMeter(tolerance, -time.Hour)
	require.Equal(t, quota.Admitted, m.Admit("a", limited, 1, 0).Verdict)
	require.Equal(t, quota.Asking, m.Admit("a", limited, 1, 0).Verdict, "the reserve is used up")
	require.Equal(t, 2, m.Request("a", 0), "the unconfirmed one and the one that waits")
	require.Zero(t, m.Request("a", 0), "one request at a time")
	run, refused := m.TakeGrant("a", quota.Grant{Granted: 2}, 0)
	require.Equal(t, 1, run)
	require.Zero(t, refused)
	require.Equal(t, quota.Admitted, m.Admit("a", limited, 1, 0).Verdict, "what was unconfirmed is granted")
}

// TestUnconfirmedIsGrantedFirst: a grant that does not cover all confirms what has run.
func TestUnconfirmedIsGrantedFirst(t *testing.T) {
	m := quota.NewMeter(tolerance, -time.Hour)
	m.Admit("a", limited, 1, 0)
	m.Admit("a", limited, 1, 0)
	m.Request("a", 0)
	run, refused := m.TakeGrant("a", quota.Grant{Granted: 1, RetryAfter: time.Second}, 0)
	require.Zero(t, run)
	require.Equal(t, 1, refused)
	require.Equal(t, quota.Admitted, m.Admit("a", limited, 1, 0).Verdict)
	d := m.Admit("a", limited, 1, 100*time.Millisecond)
	require.Equal(t, quota.Refused, d.Verdict, "refused at once, without a request")
	require.Equal(t, 900*time.Millisecond, d.RetryAfter)
}

// TestCutOffHostRunsItsAllowanceOnce: without a grant nothing comes back, however
// long it takes.
func TestCutOffHostRunsItsAllowanceOnce(t *testing.T) {
	m := quota.NewMeter(tolerance, -time.Hour)
	admitted := 0
	for now := time.Duration(0); now < 10*time.Minute; now += 10 * time.Millisecond {
		if m.Admit("a", limited, 2, now).Verdict == quota.Admitted {
			admitted++
		}
		if m.Request("a", now) > 0 {
			m.RequestFailed("a", now)
		}
	}
	require.Equal(t, 2, admitted)
}

// TestGrantCoversWhatWasAskedFor: operations that came after the request wait for
// the next one.
func TestGrantCoversWhatWasAskedFor(t *testing.T) {
	m := quota.NewMeter(tolerance, -time.Hour)
	m.Admit("a", limited, 0, 0)
	m.Request("a", 0)
	m.Admit("a", limited, 0, 0)
	run, refused := m.TakeGrant("a", quota.Grant{Granted: 5}, 0)
	require.Equal(t, 1, run)
	require.Zero(t, refused)
	require.Equal(t, 1, m.Request("a", 0))
}

func TestRefundOfAnUnconfirmedOperation(t *testing.T) {
	m := quota.NewMeter(tolerance, -time.Hour)
	m.Admit("a", limited, 1, 0)
	m.Refund("a")
	require.Equal(t, quota.Admitted, m.Admit("a", limited, 1, 0).Verdict)
	m.Request("a", 0)
	m.Refund("a")
	require.Equal(t, quota.Asking, m.Admit("a", limited, 1, 0).Verdict, "what was asked for is not taken back")
}

// TestHostThatStartsRunsNothingAhead: the process before it may have used up the
// allowance just before it was killed.
func TestHostThatStartsRunsNothingAhead(t *testing.T) {
	m := quota.NewMeter(tolerance, 0)
	require.Equal(t, quota.Asking, m.Admit("a", limited, 3, 0).Verdict)
	require.Equal(t, quota.Admitted, m.Admit("a", limited, 3, window).Verdict)
}

func TestTeamWithoutLimitNeedsNoCounter(t *testing.T) {
	m := quota.NewMeter(tolerance, -time.Hour)
	require.Equal(t, quota.Admitted, m.Admit("a", quota.Limit{}, 0, 0).Verdict)
	require.Zero(t, m.Request("a", 0))
}

// TestNobodyWaitsAtAnEmptyCounter: operations that came while the request was under way
// are refused with the answer that nothing is left; no later answer would wake them.
func TestNobodyWaitsAtAnEmptyCounter(t *testing.T) {
	m := quota.NewMeter(tolerance, -time.Hour)
	require.Equal(t, quota.Asking, m.Admit("a", limited, 0, 0).Verdict)
	require.Equal(t, 1, m.Request("a", 0))
	require.Equal(t, quota.Asking, m.Admit("a", limited, 0, 0).Verdict)
	require.Equal(t, quota.Asking, m.Admit("a", limited, 0, 0).Verdict)
	run, refused := m.TakeGrant("a", quota.Grant{RetryAfter: time.Second}, 0)
	require.Zero(t, run)
	require.Equal(t, 3, refused)
	require.Zero(t, m.Request("a", 2*time.Second))
}
