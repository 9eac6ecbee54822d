// Package catchup decides whether a read waits for a replica that lags. The floor
// of a read is the log position that a replica must have applied to serve it.
//
// When all replicas lag, the primary is the only member that can serve reads of
// recent commits, and it cannot take all of them. Delaying such a read until a
// replica has applied the commit costs latency, but avoids a refusal and load
// on the primary.
//
// Callers must not wait for a floor that follows from a staleness bound: that
// floor rises with time, and a replica that lags by more than the bound never
// reaches it.
package catchup

import "time"

const (
	// UnknownLag is the lag assumed for a replica that is below the floor by an
	// unknown amount. The replica is tried again when the observation expires.
	UnknownLag = observationTTL
	// minRetryDelay is the least time before a lagging replica is tried again,
	// about the normal replication lag of 20 to 50 ms.
	minRetryDelay = 30 * time.Millisecond
	// observationTTL is how long an observation that a replica is below the
	// floor keeps reads away from it. After that a read is sent to check,
	// because the replica may have caught up faster than expected.
	observationTTL = 150 * time.Millisecond
)

// Replica is the last observation of a replica's log, relative to the floor of
// one read.
type Replica struct {
	ID string
	// ObservedAt is when the replica's log position was last observed.
	ObservedAt time.Duration
	// CaughtUp reports whether the log contained the floor of the read at
	// ObservedAt.
	CaughtUp bool
	// Lag is, if CaughtUp is false, how much later the primary's log reached
	// the floor than the replica's position.
	Lag time.Duration
}

// ReadyAt returns when the replica is expected to reach the floor.
func (r Replica) ReadyAt() time.Duration {
	if r.CaughtUp {
		return r.ObservedAt
	}
	return r.ObservedAt + max(r.Lag, minRetryDelay)
}

// KnownBehind reports whether the replica was recently observed below the floor
// and is not expected to have reached it yet.
func (r Replica) KnownBehind(now time.Duration) bool {
	return now < min(r.ReadyAt(), r.ObservedAt+observationTTL)
}

// SoonestReady returns the replica that is expected to reach the floor first,
// and when to send the read to it. It returns false if no replica is expected
// to reach it by the deadline. Of equal replicas the first is returned.
func SoonestReady(replicas []Replica, now, deadline time.Duration) (Replica, time.Duration, bool) {
	var best Replica
	bestAt, found := deadline, false
	for _, r := range replicas {
		if at := max(r.ReadyAt(), now); at <= bestAt && (!found || at < bestAt) {
			best, bestAt, found = r, at, true
		}
	}
	return best, bestAt, found
}
