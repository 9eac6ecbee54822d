package quota_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// partitionedFleet returns a fleet that is partitioned at a time and heals at another. The
// hosts on one side do not reach the store, and their registrations end some time after
// the partition. All counters of the team are among them, and so many others as make up
// the given number of hosts.
func partitionedFleet(seed uint64, size, cutOff int, from, leaseRest, until time.Duration) *simFleet {
	s := newSimFleet(noneBroken, seed, size, lapseLimit, 1)
	s.reliable = true
	r := &simRegistrations{lapses: map[*simHost]lapse{}, delays: map[*simHost]time.Duration{}, unreachedUntil: map[*simHost]time.Duration{}}
	cut := map[*simHost]bool{}
	for _, name := range s.place(s.hosts[0]).Counters {
		cut[s.find(name)] = true
	}
	for _, i := range s.rng.Perm(size) {
		if len(cut) < cutOff {
			cut[s.hosts[i]] = true
		}
	}
	for h := range cut {
		ends := from + leaseRest - time.Duration(s.rng.Int64N(int64(leaseRest)/2))
		r.lapses[h] = lapse{from: ends.Truncate(tick), until: until + time.Second}
		r.unreachedUntil[h] = until
	}
	s.registrations = r
	clear(s.placements)
	s.run(from, nil)
	for h := range cut {
		h.partition = 1
	}
	s.run(until, nil)
	for h := range cut {
		h.partition = 0
	}
	clear(s.placements)
	return s
}

// TestPartitionedCountersKeepTheLimit guards against counters that go on granting on the
// side of a partition that has lost the store, beside those that have replaced them on
// the other side.
func TestPartitionedCountersKeepTheLimit(t *testing.T) {
	for _, cutOff := range []int{2, 6, 10} {
		for _, lasts := range []time.Duration{7 * time.Second, 30 * time.Second} {
			t.Run(fmt.Sprintf("%d of 12 cut off for %s", cutOff, lasts), func(t *testing.T) {
				t.Parallel()
				for seed := range *lapseSeeds * 2 {
					s := partitionedFleet(seed, 12, cutOff, 6*time.Second, 6*time.Second, 6*time.Second+lasts)
					s.run(s.now+2*window, nil)
					require.LessOrEqual(t, float64(maxInWindow(s.admittedAt)), maxOperations(lapseLimit, tolerance), "seed %d", seed)
				}
			})
		}
	}
}

// TestStoreOutageLeavesCallersHalfOfTheirLimit guards against teams that are refused
// everything when an outage of the store outlasts all leases.
func TestStoreOutageLeavesCallersHalfOfTheirLimit(t *testing.T) {
	const from, leaseRest = 6 * time.Second, 6 * time.Second
	s := newSimFleet(noneBroken, 1, lapseFleetSize, lapseLimit, 1)
	s.registrations = &simRegistrations{lapses: map[*simHost]lapse{}, unreachedUntil: map[*simHost]time.Duration{}, storeDown: true}
	for _, h := range s.hosts {
		s.registrations.lapses[h] = lapse{from: from + leaseRest, until: time.Hour}
		s.registrations.unreachedUntil[h] = time.Hour
	}
	s.run(from+leaseRest+time.Second, nil)
	before := len(s.admittedAt)
	s.run(from+leaseRest+6*time.Second, nil)
	require.Greater(t, float64(len(s.admittedAt)-before), 0.4*lapseLimit.Rate*5)
	require.LessOrEqual(t, float64(maxInWindow(s.admittedAt)), maxOperations(lapseLimit, tolerance))
}
