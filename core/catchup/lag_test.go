package catchup_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/catchup"
	"github.com/dotterelswitch/dotterelswitch/core/fresh"
	"github.com/dotterelswitch/dotterelswitch/core/logpos"
)

// The simulated load on a group whose replica lags.
const (
	lagStart, lagEnd = time.Second, 7 * time.Second
	injectedLag      = 400 * ms
	normalLag        = 50 * ms
	commitInterval   = 5 * ms
	readInterval     = 4 * ms
	// primaryReadInterval is the time that the primary needs for a read. It is
	// longer than readInterval, so the primary alone is overloaded.
	primaryReadInterval  = 5500 * time.Microsecond
	readDelayAfterCommit = 20 * ms
	maxReadWait          = 600 * ms
	simulatedTime        = 12 * time.Second
)

// laggingGroup simulates a primary, a replica that lags, and the reads sent to
// them.
type laggingGroup struct {
	// waitForReplica allows reads to wait for the replica.
	waitForReplica bool
	floors         fresh.Floors
	// observed is the last known end of the replica's log, as of observedAt.
	observed   logpos.Position
	observedAt time.Duration
	// primaryFreeAt is when the primary can take the next read.
	primaryFreeAt   time.Duration
	waiting         []waitingRead
	served, refused int
}

// waitingRead is a read that waits for the replica to reach its floor.
type waitingRead struct {
	floor             logpos.Position
	retryAt, deadline time.Duration
}

// primaryLog returns the end of a log that contains all commits up to a time.
func primaryLog(upTo time.Duration) logpos.Position {
	return logpos.Position{Term: 1, Offset: logpos.Offset(max(upTo, 0) / commitInterval)}
}

// replicaLog returns the end of the replica's log, which never moves back.
func replicaLog(now time.Duration) logpos.Position {
	if now >= lagStart && now < lagEnd {
		return primaryLog(max(lagStart-normalLag, now-injectedLag))
	}
	return primaryLog(now - normalLag)
}

// queryReplica reports whether the replica can serve a read at a floor.
func (g *laggingGroup) queryReplica(floor logpos.Position, now time.Duration) bool {
	g.observed, g.observedAt = replicaLog(now), now
	return !g.observed.Less(floor)
}

func (g *laggingGroup) replica(floor logpos.Position) catchup.Replica {
	lag, _ := g.floors.Lag(g.observed, floor)
	return catchup.Replica{ObservedAt: g.observedAt, CaughtUp: !g.observed.Less(floor), Lag: lag}
}

// waitOrRefuse queues a read until the replica is expected to reach its floor,
// or refuses it.
func (g *laggingGroup) waitOrRefuse(r waitingRead, now time.Duration) {
	_, at, found := catchup.SoonestReady([]catchup.Replica{g.replica(r.floor)}, now, r.deadline)
	if !g.waitForReplica || !found {
		g.refused++
		return
	}
	r.retryAt = at
	g.waiting = append(g.waiting, r)
}

// retryDue sends the waiting reads that are due to the replica.
func (g *laggingGroup) retryDue(now time.Duration) {
	due := g.waiting
	g.waiting = nil
	for _, r := range due {
		switch {
		case r.retryAt > now:
			g.waiting = append(g.waiting, r)
		case g.queryReplica(r.floor, now):
			g.served++
		default:
			g.waitOrRefuse(r, now)
		}
	}
}

// read sends a read to the replica unless that is known to lag, else to the
// primary.
func (g *laggingGroup) read(now time.Duration) {
	floor := primaryLog(now - readDelayAfterCommit)
	if !g.replica(floor).KnownBehind(now) && g.queryReplica(floor, now) {
		g.served++
		return
	}
	if now >= g.primaryFreeAt {
		g.primaryFreeAt = max(g.primaryFreeAt+primaryReadInterval, now)
		g.served++
		return
	}
	g.waitOrRefuse(waitingRead{floor: floor, deadline: now + maxReadWait}, now)
}

func simulateLag(waitForReplica bool) *laggingGroup {
	g := &laggingGroup{waitForReplica: waitForReplica}
	for now := time.Duration(0); now < simulatedTime; now += ms {
		g.floors.Observe(primaryLog(now), now)
		g.retryDue(now)
		if now%readInterval == 0 {
			g.read(now)
		}
	}
	return g
}

// TestWaitingForReplicaAvoidsRefusals simulates a replica with a lag of 400 ms
// while reads of recent commits exceed the capacity of the primary: waiting must
// avoid at least nine of ten refusals.
func TestWaitingForReplicaAvoidsRefusals(t *testing.T) {
	notWaiting, waiting := simulateLag(false), simulateLag(true)
	t.Logf("refused %d without waiting, %d with it", notWaiting.refused, waiting.refused)
	require.Greater(t, notWaiting.refused, 200)
	require.Less(t, waiting.refused, notWaiting.refused/10)
}
