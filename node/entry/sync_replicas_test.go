package entry_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/directory"
	"github.com/dotterelswitch/dotterelswitch/standin/lineplatform"
)

// syncRecordPrefix is the prefix of the records of groups with synchronous replicas.
const syncRecordPrefix = "dotterelswitch/syncgroups/"

// syncGroup is a group with one synchronous replica, which serves three hosts.
type syncGroup struct {
	*deployment
	primary, behind, complete *lineplatform.Member
	written                   []string
}

// deploySyncGroup starts the group and waits until its members are recorded.
func deploySyncGroup(t *testing.T) *syncGroup {
	t.Helper()
	return deploySyncGroupWithLag(t, options().ReplicationLag)
}

// deploySyncGroupWithLag is deploySyncGroup with replicas that receive a commit later.
func deploySyncGroupWithLag(t *testing.T, lag time.Duration) *syncGroup {
	t.Helper()
	o := options()
	o.SyncReplicas, o.ReplicationLag, o.MaxConnections = 1, lag, 64
	d := deploy(t, 3, o)
	members := d.group.Members()
	g := &syncGroup{deployment: d, primary: members[0], behind: members[1], complete: members[2]}
	g.awaitRecord(3)
	g.write(20)
	g.awaitReplicas()
	return g
}

// awaitRecord waits until the record names a number of members.
func (g *syncGroup) awaitRecord(members int) {
	g.t.Helper()
	require.Eventually(g.t, func() bool {
		value, _ := g.platform.Store.Get(syncRecordPrefix + "svc")
		var ids [4]string
		n, _ := fmt.Sscan(string(value), &ids[0], &ids[1], &ids[2], &ids[3])
		return n == members
	}, waitLimit, pollInterval)
}

// write writes items through the newest host.
func (g *syncGroup) write(count int) {
	g.t.Helper()
	c := g.connect(len(g.settings)-1, "strict")
	for range count {
		res := c.must(fmt.Sprintf("STORE item-%d x", len(g.written)))
		g.written = append(g.written, res.id)
	}
}

// loseReplica crashes a replica and ends its entry, so that hosts take it to be gone.
func loseReplica(m *lineplatform.Member) {
	m.Crash()
	m.Deregister()
	time.Sleep(directory.GracePeriod + time.Second)
}

// awaitPromotion waits until a replica is the primary. Callers read meanwhile, so that hosts
// notice that the former primary is gone.
func (g *syncGroup) awaitPromotion(m *lineplatform.Member) {
	g.t.Helper()
	c := g.connect(len(g.settings)-1, "strict")
	require.Equal(g.t, []string{"x"}, c.awaitRead("item-0"))
	require.Equal(g.t, m, g.group.Primary())
}

// requireNothingLost requires that each write is in the log of the members after the
// promotions, and that the group takes writes again.
func (g *syncGroup) requireNothingLost() {
	g.t.Helper()
	g.connect(len(g.settings)-1, "strict").awaitWrite("after")
	for _, start := range g.group.TermStarts() {
		for _, id := range g.written {
			at := g.group.LastCommit(id)
			require.False(g.t, at.Term < start.Term && at.Offset > start.Offset, "acknowledged write %s at %s lost in term %d", id, at, start.Term)
		}
	}
}

// TestReplicaWithoutAcknowledgedCommitsIsNotPromoted guards against a promotion that loses
// acknowledged commits: the only replica that received them has crashed, and its entry has
// ended.
func TestReplicaWithoutAcknowledgedCommitsIsNotPromoted(t *testing.T) {
	for _, restartHosts := range []bool{false, true} {
		t.Run(fmt.Sprintf("hosts restart %t", restartHosts), func(t *testing.T) {
			t.Parallel()
			g := deploySyncGroup(t)
			g.behind.SetReplicationBlocked(true)
			g.write(20)
			g.complete.Crash()
			g.primary.Crash()
			if restartHosts {
				for _, h := range g.hosts {
					h.Kill()
				}
				for range 3 {
					g.startHost(g.platform.Address())
				}
			}
			g.behind.SetReplicationBlocked(false)
			g.complete.Deregister()
			g.primary.Deregister()
			time.Sleep(directory.GracePeriod + 3*time.Second)
			require.Empty(t, g.group.TermStarts(), "a replica without acknowledged commits was promoted")
			require.NoError(t, g.complete.Restart())
			g.requireNothingLost()
			require.Equal(t, g.complete, g.group.Primary())
			time.Sleep(time.Second)
			require.Len(t, g.group.TermStarts(), 1, "hosts that had waited promoted one after the other")
		})
	}
}

// TestCompleteReplicaIsPromotedBesideLostOne guards against a group that waits for a lost
// replica although another one has every acknowledged commit.
func TestCompleteReplicaIsPromotedBesideLostOne(t *testing.T) {
	t.Parallel()
	g := deploySyncGroup(t)
	// Hosts may have stopped before until their grace period is over.
	time.Sleep(g.settings[0].GracePeriod)
	g.write(1)
	g.awaitReplicas()
	g.complete.Crash()
	g.primary.Crash()
	startedAt := time.Now()
	g.awaitPromotion(g.behind)
	require.Less(t, time.Since(startedAt), directory.GracePeriod)
	require.NoError(t, g.primary.Restart())
	g.requireNothingLost()
}

// TestLostReplicaIsForgottenOnceOthersHaveItsCommits guards against a group that never
// promotes again after the loss of a replica, also when no host remembers a commit.
func TestLostReplicaIsForgottenOnceOthersHaveItsCommits(t *testing.T) {
	t.Parallel()
	g := deploySyncGroup(t)
	g.behind.SetReplicationBlocked(true)
	g.write(5)
	loseReplica(g.complete)
	g.awaitRecord(3)
	g.behind.SetReplicationBlocked(false)
	g.awaitRecord(2)
	for _, h := range g.hosts {
		h.Kill()
	}
	for range 3 {
		g.addHost()
	}
	time.Sleep(time.Second)
	g.primary.Crash()
	g.awaitPromotion(g.behind)
	require.NoError(t, g.primary.Restart())
	g.requireNothingLost()
}

// TestLostReplicaIsForgottenWhileCallersWrite guards against a lost replica that stays in the
// record for as long as callers write, because the others are always a little behind.
func TestLostReplicaIsForgottenWhileCallersWrite(t *testing.T) {
	t.Parallel()
	g := deploySyncGroupWithLag(t, 60*time.Millisecond)
	done := make(chan struct{})
	var wg sync.WaitGroup
	for n := range 12 {
		c := g.connect(n%len(g.hosts), "strict")
		wg.Go(func() {
			for {
				select {
				case <-done:
					return
				default:
					_, _ = c.try("STORE item-0 x")
				}
			}
		})
	}
	loseReplica(g.complete)
	g.awaitRecord(2)
	close(done)
	wg.Wait()
}

// TestGroupWithoutSyncReplicasIsNotRecorded guards against calls to the store that only
// groups with synchronous replicas need.
func TestGroupWithoutSyncReplicasIsNotRecorded(t *testing.T) {
	t.Parallel()
	d := deploy(t, 2, options())
	d.awaitLock()
	c := d.connect(0, "strict")
	for range 20 {
		c.must("STORE item x")
		time.Sleep(50 * time.Millisecond)
	}
	require.Empty(t, d.platform.Store.Keys(syncRecordPrefix))
}
