package membership_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dotterelswitch/dotterelswitch/core/fixedseed"
	"github.com/dotterelswitch/dotterelswitch/core/membership"
)

func TestMain(m *testing.M) { fixedseed.Main(m) }

func host(i int) membership.Host {
	return membership.Host{ID: fmt.Sprintf("h%d", i), Zone: fmt.Sprintf("z%d", i%3), Incarnation: 1}
}

func fleet(n int) []membership.Host {
	out := make([]membership.Host, 0, n)
	for i := range n {
		out = append(out, host(i))
	}
	return out
}

// TestRemovedHostMovesOnlyItsMembers checks that removing a host changes the owner only
// of the members that it owned.
func TestRemovedHostMovesOnlyItsMembers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := fleet(rapid.IntRange(2, 40).Draw(t, "hosts"))
		removed := rapid.IntRange(0, len(hosts)-1).Draw(t, "removed")
		remaining := append(append([]membership.Host{}, hosts[:removed]...), hosts[removed+1:]...)
		for m := range 60 {
			member, zone := fmt.Sprintf("m%d", m), fmt.Sprintf("z%d", m%3)
			before, _ := membership.NewPlacement(hosts).Owner(member, zone)
			after, _ := membership.NewPlacement(remaining).Owner(member, zone)
			if before.ID != hosts[removed].ID {
				require.Equal(t, before, after)
			}
		}
	})
}

// rosters is a small fleet of hosts that probe each other.
type rosters []*membership.Roster

func newRosters(n int) rosters {
	var out rosters
	for _, h := range fleet(n) {
		out = append(out, membership.NewRoster(h, membership.DefaultTiming(), 7))
	}
	return out
}

func (rs rosters) find(id string) *membership.Roster {
	for _, r := range rs {
		if r.Self().ID == id {
			return r
		}
	}
	return nil
}

// ping exchanges rumours between two hosts, as the protocol does.
func ping(from, to *membership.Roster, now time.Duration) {
	deliver := func(a, b *membership.Roster) {
		b.ConfirmAlive(a.Self(), now)
		for _, h := range a.TakeRumours() {
			b.Merge(h, now)
		}
		if known, found := a.Host(b.Self().ID); found && known.State != membership.Alive {
			b.Merge(known, now)
		}
	}
	deliver(from, to)
	deliver(to, from)
}

// round lets every host probe once; reach reports whether two hosts can communicate.
func (rs rosters) round(now time.Duration, reach func(a, b string) bool) {
	for _, r := range rs {
		r.Tick(now)
		target, found := r.NextProbe()
		if !found {
			continue
		}
		other := rs.find(target.ID)
		if other != nil && reach(r.Self().ID, target.ID) {
			ping(r, other, now)
		} else {
			r.ProbeFailed(target.ID, target.Incarnation, now)
		}
	}
}

const period = 200 * time.Millisecond

// TestFleetLearnsAndHeals starts a fleet from one seed host, partitions it and heals
// the partition: all hosts must agree on the serving hosts after each step.
func TestFleetLearnsAndHeals(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rs := newRosters(rapid.IntRange(3, 12).Draw(t, "hosts"))
		for _, r := range rs[1:] {
			r.MergeList([]membership.Host{host(0)}, 0)
		}
		all := func(string, string) bool { return true }
		now := time.Duration(0)
		run := func(reach func(a, b string) bool) {
			for range 20 * len(rs) {
				now += period
				rs.round(now, reach)
			}
		}
		run(all)
		for _, r := range rs {
			require.Len(t, r.Serving(), len(rs))
		}
		split := rapid.IntRange(1, len(rs)-1).Draw(t, "split")
		side := func(id string) bool {
			var i int
			_, _ = fmt.Sscanf(id, "h%d", &i)
			return i < split
		}
		run(func(a, b string) bool { return side(a) == side(b) })
		for i, r := range rs {
			want := split
			if i >= split {
				want = len(rs) - split
			}
			require.Len(t, r.Serving(), want)
		}
		run(all)
		for _, r := range rs {
			require.Len(t, r.Serving(), len(rs), "after the partition healed")
		}
	})
}

// TestRestartUnderTheSameID checks that old rumours do not affect a new incarnation,
// and that a leaving host gets no new work.
func TestRestartUnderTheSameID(t *testing.T) {
	r := membership.NewRoster(host(0), membership.DefaultTiming(), 1)
	old := host(1)
	r.Merge(old, 0)
	r.ProbeRefused(old.ID, old.Incarnation, 1)
	require.Len(t, r.Serving(), 1)
	restarted := old
	restarted.Incarnation = 9
	r.ConfirmAlive(restarted, 2)
	r.ProbeFailed(old.ID, old.Incarnation, 3)
	r.Merge(membership.Host{ID: old.ID, Incarnation: 1, State: membership.Dead}, 4)
	require.Len(t, r.Serving(), 2)
	restarted.State = membership.Leaving
	r.Merge(restarted, 5)
	require.Len(t, r.Serving(), 1)
	require.Len(t, r.Reachable(), 2)
}

// TestHostMissingFromTheListIsNotDead covers the lag of the service registry's list.
func TestHostMissingFromTheListIsNotDead(t *testing.T) {
	r := membership.NewRoster(host(0), membership.DefaultTiming(), 1)
	r.Merge(host(1), 0)
	r.MergeList([]membership.Host{host(2)}, 1)
	require.Len(t, r.Serving(), 3)
}

// TestRumoursPerMessageAreBounded checks that the size of a message does not grow with
// the fleet.
func TestRumoursPerMessageAreBounded(t *testing.T) {
	r := membership.NewRoster(host(0), membership.DefaultTiming(), 1)
	for i := 1; i < 500; i++ {
		r.Merge(host(i), 0)
	}
	const limit = 8
	require.Len(t, r.TakeRumours(), limit)
}
