// Package catchup decides whether a read waits for a replica that is behind.
//
// Load pattern: the replicas of a group are some hundred milliseconds behind,
// and callers that have just written want to see it. Only the primary is left
// for their reads, whose slots run part of them, and the rest would be refused.
// A replica that applies 400 ms late shows a caller's own commit 400 ms after
// it: late for some, but served, and it takes nothing from the primary.
//
// A floor that follows from how stale a read may be is not waited for. It rises
// with time, and a replica that is behind by more than that does not reach it.
package catchup

import "time"

const (
	// Unknown is the distance to a log of which nothing is known but that it is
	// too short.
	Unknown = sightingFor
	// minWait is the least wait before a replica that was behind is asked again:
	// replicas are 20 to 50 ms behind when all is well.
	minWait = 30 * time.Millisecond
	// sightingFor is how long the sight of a short log keeps reads away. After it
	// one is sent to look: a replica may catch up faster than it fell behind.
	sightingFor = 150 * time.Millisecond
)

// Replica is what is known of a replica's log, for one read.
type Replica struct {
	ID string
	// Seen is when its log was last seen.
	Seen time.Duration
	// Holds tells that it held the read's floor then.
	Holds bool
	// Distance is, where it did not, how much later the primary's log reached the
	// floor than what the replica held.
	Distance time.Duration
}

// ReadyAt returns when the replica is expected to hold the floor.
func (r Replica) ReadyAt() time.Duration {
	if r.Holds {
		return r.Seen
	}
	return r.Seen + max(r.Distance, minWait)
}

// Behind reports whether the replica is not worth a try now.
func (r Replica) Behind(now time.Duration) bool {
	return now < min(r.ReadyAt(), r.Seen+sightingFor)
}

// Soonest returns the replica that is expected to hold the floor first, and
// when to ask it. It returns false if none will by the latest time.
func Soonest(replicas []Replica, now, latest time.Duration) (Replica, time.Duration, bool) {
	var best Replica
	bestAt, found := latest, false
	for _, r := range replicas {
		if at := max(r.ReadyAt(), now); at <= bestAt && (!found || at < bestAt) {
			best, bestAt, found = r, at, true
		}
	}
	return best, bestAt, found
}
