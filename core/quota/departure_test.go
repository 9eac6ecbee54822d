package quota_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/quota"
)

// departedAt is when the first of departedHosts departs.
const departedAt = time.Minute

// departedHosts are three hosts of three regions, each a counter of a team with a large
// limit.
var departedHosts = []quota.Host{{Name: "a", Region: "x"}, {Name: "b", Region: "y"}, {Name: "c", Region: "z"}}

// viewOf returns a host's view after the departure.
func viewOf(self quota.Host) *quota.Fleet {
	f := quota.NewFleet(self)
	f.SetRegistered(departedHosts, 0)
	f.SetRegistered(departedHosts[1:], departedAt)
	return f
}

// TestDepartedCounterCountsUntilItDeclines guards against a larger share of the limit
// beside a counter whose registration has ended and that goes on counting.
func TestDepartedCounterCountsUntilItDeclines(t *testing.T) {
	l := limitOf(1000, 1000)
	f := viewOf(departedHosts[1])
	p, _ := f.Place(team, l, tolerance, departedAt)
	require.ElementsMatch(t, []string{"a", "b", "c"}, p.Counters)
	require.Equal(t, departedHosts[:1], f.DepartedCounters(p, team, l, tolerance, departedAt))

	f.ConfirmDeparture("a", team, true, departedAt)
	require.Empty(t, f.DepartedCounters(p, team, l, tolerance, departedAt))
	later := departedAt + time.Second
	require.Equal(t, departedHosts[:1], f.DepartedCounters(p, team, l, tolerance, later), "it is asked again")

	require.True(t, f.ConfirmDeparture("a", team, false, later))
	p, _ = f.Place(team, l, tolerance, later)
	require.ElementsMatch(t, []string{"b", "c"}, p.Counters)
	p, _ = f.Place("another team", l, tolerance, later)
	require.Contains(t, p.Counters, "a", "it has not been asked for this team")
}

// TestDepartedCounterWithoutAnswerIsReplaced covers a host that has died.
func TestDepartedCounterWithoutAnswerIsReplaced(t *testing.T) {
	l := limitOf(1000, 1000)
	f := viewOf(departedHosts[1])
	require.True(t, f.ConfirmGone("a"))
	p, _ := f.Place(team, l, tolerance, departedAt)
	require.ElementsMatch(t, []string{"b", "c"}, p.Counters)
	require.False(t, f.ConfirmGone("c"), "a registered host is not gone")
}

// TestLapsedHostJoinsAgain guards against a host that counts at once when it registers
// again, beside the hosts that have replaced it meanwhile.
func TestLapsedHostJoinsAgain(t *testing.T) {
	l := limitOf(1000, 1000)
	for _, c := range []struct {
		name     string
		absence  time.Duration
		declines bool
		joins    bool
	}{
		{"within the time in which it is not replaced", time.Second, false, false},
		{"after it has declined", time.Second, true, true},
		{"after others may have replaced it", 5 * time.Second, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := viewOf(departedHosts[0])
			require.True(t, f.Suspended(departedAt))
			if c.declines {
				f.Decline(departedAt)
			}
			require.Equal(t, !c.declines, f.Suspended(departedAt))
			now := departedAt + c.absence
			f.SetRegistered(departedHosts, now)
			_, unacknowledged := f.Place(team, l, tolerance, now)
			require.Equal(t, c.joins, len(unacknowledged) > 0)
		})
	}
}

// TestLeavingHostIsNotSuspended guards against a host that stops and keeps others from
// counting in its place.
func TestLeavingHostIsNotSuspended(t *testing.T) {
	f := quota.NewFleet(departedHosts[0])
	f.SetRegistered(departedHosts, 0)
	f.Leave()
	f.SetRegistered(departedHosts[1:], departedAt)
	require.False(t, f.Suspended(departedAt))
}

// TestForgottenDepartureLeavesPlacementsValid guards against placements that are computed
// anew for every operation because of a host that departed long ago.
func TestForgottenDepartureLeavesPlacementsValid(t *testing.T) {
	f := viewOf(departedHosts[1])
	require.Greater(t, f.ValidUntil(departedAt), departedAt)
	require.Zero(t, f.ValidUntil(departedAt+time.Minute))
}

// TestSuspendedCounterServesOthers guards against operations that are refused below their
// limit because a share of it is granted by nobody, while the store turns some hosts away
// for longer than a lease.
func TestSuspendedCounterServesOthers(t *testing.T) {
	l := limitOf(1000, 1000)
	f := viewOf(departedHosts[0])
	require.ElementsMatch(t, []string{"a", "b", "c"}, f.CountersForOthers(team, l, tolerance, departedAt))
	require.Nil(t, f.CountersForOthers(team, l, tolerance, departedAt+lapsePeriod), "it declines")
	require.Nil(t, viewOf(departedHosts[1]).CountersForOthers(team, l, tolerance, departedAt), "it is registered")
}

// lapsePeriod is the time for which a host is suspended.
const lapsePeriod = 3 * time.Second
