package quota_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/quota"
)

var limited = limitOf(10, 10)

func TestOperationRunsAheadOfItsPayment(t *testing.T) {
	m := quota.NewMeter(tolerance, -time.Hour)
	require.Equal(t, quota.Admitted, m.Admit("a", limited, 1, 0).Verdict)
	require.Equal(t, quota.Asking, m.Admit("a", limited, 1, 0).Verdict, "the reserve is used up")
	require.Equal(t, 2, m.Question("a", 0), "the debt and the one that waits")
	require.Zero(t, m.Question("a", 0), "one question at a time")
	run, refused := m.Answered("a", quota.Payment{Paid: 2}, 0)
	require.Equal(t, 1, run)
	require.Zero(t, refused)
	require.Equal(t, quota.Admitted, m.Admit("a", limited, 1, 0).Verdict, "the debt is paid")
}

// TestDebtIsPaidFirst: a payment that does not cover all settles what has run.
func TestDebtIsPaidFirst(t *testing.T) {
	m := quota.NewMeter(tolerance, -time.Hour)
	m.Admit("a", limited, 1, 0)
	m.Admit("a", limited, 1, 0)
	m.Question("a", 0)
	run, refused := m.Answered("a", quota.Payment{Paid: 1, RetryAfter: time.Second}, 0)
	require.Zero(t, run)
	require.Equal(t, 1, refused)
	require.Equal(t, quota.Admitted, m.Admit("a", limited, 1, 0).Verdict)
	d := m.Admit("a", limited, 1, 100*time.Millisecond)
	require.Equal(t, quota.Refused, d.Verdict, "refused at once, without a question")
	require.Equal(t, 900*time.Millisecond, d.RetryAfter)
}

// TestCutOffHostRunsItsReserveOnce: without a payment nothing comes back, however
// long it takes.
func TestCutOffHostRunsItsReserveOnce(t *testing.T) {
	m := quota.NewMeter(tolerance, -time.Hour)
	admitted := 0
	for now := time.Duration(0); now < 10*time.Minute; now += 10 * time.Millisecond {
		if m.Admit("a", limited, 2, now).Verdict == quota.Admitted {
			admitted++
		}
		if m.Question("a", now) > 0 {
			m.Unanswered("a", now)
		}
	}
	require.Equal(t, 2, admitted)
}

// TestPaymentCoversWhatWasAskedFor: operations that came after the question wait for
// the next one.
func TestPaymentCoversWhatWasAskedFor(t *testing.T) {
	m := quota.NewMeter(tolerance, -time.Hour)
	m.Admit("a", limited, 0, 0)
	m.Question("a", 0)
	m.Admit("a", limited, 0, 0)
	run, refused := m.Answered("a", quota.Payment{Paid: 5}, 0)
	require.Equal(t, 1, run)
	require.Zero(t, refused)
	require.Equal(t, 1, m.Question("a", 0))
}

func TestUnusedOperationShortensTheDebt(t *testing.T) {
	m := quota.NewMeter(tolerance, -time.Hour)
	m.Admit("a", limited, 1, 0)
	m.Unused("a")
	require.Equal(t, quota.Admitted, m.Admit("a", limited, 1, 0).Verdict)
	m.Question("a", 0)
	m.Unused("a")
	require.Equal(t, quota.Asking, m.Admit("a", limited, 1, 0).Verdict, "what is being paid for is not taken back")
}

// TestHostThatStartsRunsNothingAhead: the process before it may have used up the
// reserve just before it was killed.
func TestHostThatStartsRunsNothingAhead(t *testing.T) {
	m := quota.NewMeter(tolerance, 0)
	require.Equal(t, quota.Asking, m.Admit("a", limited, 3, 0).Verdict)
	require.Equal(t, quota.Admitted, m.Admit("a", limited, 3, window).Verdict)
}

func TestTeamWithoutLimitNeedsNoCounter(t *testing.T) {
	m := quota.NewMeter(tolerance, -time.Hour)
	require.Equal(t, quota.Admitted, m.Admit("a", quota.Limit{}, 0, 0).Verdict)
	require.Zero(t, m.Question("a", 0))
}
