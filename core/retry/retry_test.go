package retry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/retry"
)

// TestBudgetBoundsRetries checks that retries stay below the ratio plus the
// reserve, however many fail.
func TestBudgetBoundsRetries(t *testing.T) {
	const attempts, reserve = 10_000, 20
	b := retry.NewBudget(0.1, reserve)
	retries := 0
	for range attempts {
		b.Attempt()
		for range 3 {
			if b.Retry() {
				retries++
			}
		}
	}
	require.LessOrEqual(t, retries, attempts/10+reserve)
	require.GreaterOrEqual(t, retries, attempts/10-1)
}

func TestBackoffIsBoundedAndSpread(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	b := retry.Backoff{Base: 4 * time.Millisecond, Max: 60 * time.Millisecond}
	seen := map[time.Duration]bool{}
	for attempt := range 100 {
		wait := b.Wait(attempt, rng)
		require.Positive(t, wait)
		require.LessOrEqual(t, wait, b.Max)
		if attempt == 0 {
			require.LessOrEqual(t, wait, b.Base)
		}
		seen[wait] = true
	}
	require.Greater(t, len(seen), 90, "waits are spread")
}
