package quota_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/quota"
)

// simulateJoining has random hosts join while others have not heard of them, with
// datagrams delayed, lost and duplicated. It returns the most operations in a window and
// the most that are allowed.
func simulateJoining(rule brokenRule, seed uint64) (most int, allowed float64) {
	rng := rand.New(rand.NewPCG(seed, 2))
	l := limitOf(1+60*rng.Float64(), 1+60*rng.Float64())
	s := newSimFleet(rule, seed, ruleFleetSize, l, 1)
	for _, i := range rng.Perm(ruleFleetSize)[:1+rng.IntN(ruleFleetSize-1)] {
		h := s.hosts[i]
		h.downUntil = time.Duration(100+rng.IntN(800)) * tick
		h.hiddenUntil = h.downUntil + time.Duration(rng.IntN(800))*tick
	}
	clear(s.placements)
	s.run20s(nil)
	return maxInWindow(s.admittedAt), maxOperations(l, tolerance)
}

// TestJoiningHostsKeepTheLimit also checks that the simulation detects hosts that count
// without acknowledgements.
func TestJoiningHostsKeepTheLimit(t *testing.T) {
	exceeded := false
	for seed := range uint64(40) {
		most, allowed := simulateJoining(noneBroken, seed)
		require.LessOrEqual(t, float64(most), allowed, "seed %d", seed)
		most, allowed = simulateJoining(joinsUnacknowledged, seed)
		exceeded = exceeded || float64(most) > allowed
	}
	require.True(t, exceeded, "the limit holds although %s", joinsUnacknowledged)
}

// TestJoiningHostCountsOnceAcknowledged also checks that it counts without
// acknowledgements after joinPeriod, when its registration has reached all hosts.
func TestJoiningHostCountsOnceAcknowledged(t *testing.T) {
	l := limitOf(1000, 1000)
	self, a, b := quota.Host{Name: "self", Region: "x"}, quota.Host{Name: "a", Region: "y"}, quota.Host{Name: "b", Region: "z"}
	join := func() *quota.Fleet {
		f := quota.NewFleet(self)
		f.SetRegistered([]quota.Host{self, a, b}, 0)
		f.Join(0)
		return f
	}
	f := join()
	p, unacknowledged := f.Place(team, l, tolerance, 0)
	require.ElementsMatch(t, []string{"a", "b"}, p.Counters)
	require.ElementsMatch(t, []string{"a", "b"}, unacknowledged)
	f.Acknowledge("a")
	_, unacknowledged = f.Place(team, l, tolerance, 0)
	require.Equal(t, []string{"b"}, unacknowledged)
	f.Acknowledge("b")
	p, unacknowledged = f.Place(team, l, tolerance, 0)
	require.Empty(t, unacknowledged)
	require.Equal(t, "self", p.Counters[0])

	p, unacknowledged = join().Place(team, l, tolerance, time.Minute)
	require.Empty(t, unacknowledged)
	require.Equal(t, "self", p.Counters[0])
}

// TestDepartedHostIsNotLearnedAgain guards against a host that another one names because
// it has not heard of its departure yet. Only the host itself can announce its return.
func TestDepartedHostIsNotLearnedAgain(t *testing.T) {
	f := quota.NewFleet(quota.Host{Name: "self"})
	departed := quota.Host{Name: "a"}
	f.SetRegistered([]quota.Host{{Name: "self"}, departed}, 0)
	f.SetRegistered([]quota.Host{{Name: "self"}}, time.Second)
	f.Learn([]quota.Host{departed}, 2*time.Second)
	_, known := f.Find("a", 2*time.Second)
	require.False(t, known)
	f.Announce(departed, 2*time.Second)
	_, known = f.Find("a", 2*time.Second)
	require.True(t, known)
	_, known = f.Find("a", time.Minute)
	require.False(t, known, "its registration has not arrived")
}

// TestHostsWhoseLeasesLapseTogetherKeepTheirCounters guards against hosts that each count
// alone after an outage of the store has ended all registrations.
func TestHostsWhoseLeasesLapseTogetherKeepTheirCounters(t *testing.T) {
	l := limitOf(1000, 1000)
	all := []quota.Host{{Name: "a", Region: "x"}, {Name: "b", Region: "y"}, {Name: "c", Region: "z"}, {Name: "d", Region: "z"}}
	for _, self := range all {
		f := quota.NewFleet(self)
		f.SetRegistered(all, 0)
		before, _ := f.Place(team, l, tolerance, 0)
		now := time.Minute
		for n := range all {
			now += 100 * time.Millisecond
			f.SetRegistered(all[n+1:], now)
		}
		p, _ := f.Place(team, l, tolerance, now)
		require.Equal(t, before, p, "%s while nobody is registered", self.Name)
		now += 100 * time.Millisecond
		f.SetRegistered([]quota.Host{self}, now)
		p, _ = f.Place(team, l, tolerance, now)
		require.Equal(t, before, p, "%s when it has registered again", self.Name)
		p, _ = f.Place(team, l, tolerance, now+time.Minute)
		require.Equal(t, []string{self.Name}, p.Counters, "the others have not")
	}
}

// TestHostThatStopsCountsNoLonger guards against a host that ends its own registration
// while others lapse, and goes on counting beside its successor.
func TestHostThatStopsCountsNoLonger(t *testing.T) {
	self, other := quota.Host{Name: "a"}, quota.Host{Name: "b"}
	f := quota.NewFleet(self)
	f.SetRegistered([]quota.Host{self, other}, 0)
	f.SetRegistered([]quota.Host{self}, time.Minute)
	f.SetRegistered([]quota.Host{self, other}, time.Minute+time.Second)
	f.Leave()
	now := time.Minute + 2*time.Second
	f.SetRegistered([]quota.Host{other}, now)
	p, _ := f.Place(team, limitOf(40, 40), tolerance, now)
	require.Equal(t, []string{"b"}, p.Counters)
}

// TestHostWhoseLeaseAloneHasEndedCountsNoLonger guards against a host that was cut off
// from the store and counts beside the hosts that have replaced it when it returns.
func TestHostWhoseLeaseAloneHasEndedCountsNoLonger(t *testing.T) {
	l := limitOf(1000, 1000)
	self, b, c := quota.Host{Name: "a", Region: "x"}, quota.Host{Name: "b", Region: "y"}, quota.Host{Name: "c", Region: "z"}
	f := quota.NewFleet(self)
	f.SetRegistered([]quota.Host{self, b, c}, 0)
	f.SetRegistered([]quota.Host{b, c}, time.Minute)
	p, _ := f.Place(team, l, tolerance, time.Minute)
	require.ElementsMatch(t, []string{"b", "c"}, p.Counters)
}
