package retry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/retry"
)

func TestBudgetBoundsRetries(t *testing.T) {
	const attempts, reserve = 10_000, 20
	budget := retry.NewBudget(0.1, reserve)
	retries := 0
	for range attempts {
		budget.RecordAttempt()
		for range 3 {
			if budget.TryRetry() {
				retries++
			}
		}
	}
	require.LessOrEqual(t, retries, attempts/10+reserve)
	require.GreaterOrEqual(t, retries, attempts/10-1)
}

// TestReturnedTokenIsUsedOnce guards against a budget that grows beyond its reserve by
// retries that were not made.
func TestReturnedTokenIsUsedOnce(t *testing.T) {
	budget := retry.NewBudget(0.1, 2)
	budget.Return()
	require.True(t, budget.TryRetry())
	require.True(t, budget.TryRetry())
	require.False(t, budget.TryRetry())
	budget.Return()
	require.True(t, budget.TryRetry())
	require.False(t, budget.TryRetry())
}

func TestBackoffIsBoundedAndJittered(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	backoff := retry.Backoff{Base: 4 * time.Millisecond, Max: 60 * time.Millisecond}
	seen := map[time.Duration]bool{}
	for attempt := range 100 {
		delay := backoff.Delay(attempt, rng)
		require.Positive(t, delay)
		require.LessOrEqual(t, delay, backoff.Max)
		if attempt == 0 {
			require.LessOrEqual(t, delay, backoff.Base)
		}
		seen[delay] = true
	}
	require.Greater(t, len(seen), 90, "delays must be jittered")
}
