package limits_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestCounterIsNotReplacedWhileItCounts guards against two counters in one place: an
// outage of the store has ended the registration of a host that goes on counting.
func TestCounterIsNotReplacedWhileItCounts(t *testing.T) {
	n, r := directNetwork{}, newReplacement(t)
	for _, name := range r.all() {
		n.start(name, true, r.all()...)
	}
	for _, name := range r.counters() {
		knows(n[name], r.counters()...)
	}
	time.Sleep(accrualTime)
	require.Equal(t, 1, n[r.joining].Acquire(team.Name, 1).Granted)
	require.Never(t, func() bool { return n[r.replaced].Acquire(team.Name, 1).Granted > 0 }, 300*time.Millisecond, 10*time.Millisecond)
	_, admitted := n[r.replaced].Admit(t.Context(), team)
	require.True(t, admitted, "granted by the host without registration")
}

// TestDeadCounterIsReplacedAtOnce covers a host whose registration has ended because it
// has died.
func TestDeadCounterIsReplacedAtOnce(t *testing.T) {
	n, r := directNetwork{}, newReplacement(t)
	for _, name := range r.all() {
		n.start(name, true, r.all()...)
	}
	delete(n, r.joining)
	knows(n[r.replaced], r.counters()...)
	require.Eventually(t, func() bool { return n[r.replaced].Acquire(team.Name, 1).Granted == 1 }, time.Second, time.Millisecond)
}

// TestCounterThatResumesStartsEmpty guards against a second burst of a counter that was
// replaced and counts again: the other one has granted what came in meanwhile.
func TestCounterThatResumesStartsEmpty(t *testing.T) {
	n, r := directNetwork{}, newReplacement(t)
	for _, name := range r.counters() {
		n.start(name, true, r.counters()...)
	}
	resuming := n[r.replaced]
	time.Sleep(accrualTime)
	require.Positive(t, resuming.Acquire(team.Name, 1000).Granted)
	knows(resuming, r.all()...)
	time.Sleep(accrualTime)
	departedAt := time.Now()
	knows(resuming, r.counters()...)
	require.Eventually(t, func() bool { return resuming.Acquire(team.Name, 0).Counters == nil }, time.Second, 100*time.Microsecond, "nobody answers at the other's address")
	granted := resuming.Acquire(team.Name, 1000).Granted
	// No counter accrues tokens at twice the team's rate.
	require.LessOrEqual(t, float64(granted), 2*team.Limit.Rate*time.Since(departedAt).Seconds()+1)
}

// TestSuspendedCounterGrantsToOthers guards against a share of the limit that nobody grants
// while a host has lost its registration and is not replaced yet.
func TestSuspendedCounterGrantsToOthers(t *testing.T) {
	n, r := directNetwork{}, newReplacement(t)
	suspended := n.start(r.replaced, true, r.counters()...)
	time.Sleep(lapsePeriod)
	knows(suspended, r.kept)
	require.Equal(t, []string{r.kept}, suspended.CountersOf(team.Name))
	require.Positive(t, suspended.Acquire(team.Name, 1).Granted)
}

// lapsePeriod is the time after which a registration counts as one that has lasted.
const lapsePeriod = 3100 * time.Millisecond
