package entry_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/standin/lineplatform"
)

// loseLog restarts the primary without its log, under its former term.
func (d *deployment) loseLog() *lineplatform.Member {
	d.t.Helper()
	old := d.group.Primary()
	old.Crash()
	require.NoError(d.t, old.RestartEmpty(true))
	return old
}

// killHosts kills all hosts.
func (d *deployment) killHosts() {
	for _, h := range d.hosts {
		h.Kill()
	}
}

// addHosts starts hosts and returns the index of the first.
func (d *deployment) addHosts(count int) int {
	d.t.Helper()
	first := len(d.hosts)
	for range count {
		d.addHost()
	}
	return first
}

// emptyPrimaryCases prepare a deployment with 20 acknowledged items whose primary has lost
// its log, and return the host to ask.
var emptyPrimaryCases = []struct {
	name    string
	prepare func(d *deployment) int
}{
	{"started beside running hosts", func(d *deployment) int {
		d.loseLog()
		return d.addHosts(1)
	}},
	{"single host", func(d *deployment) int {
		d.killHosts()
		d.loseLog()
		return d.addHosts(1)
	}},
	{"nine hosts", func(d *deployment) int {
		d.killHosts()
		d.loseLog()
		return d.addHosts(9) + 8
	}},
	{"one replica down", func(d *deployment) int {
		d.killHosts()
		d.loseLog()
		nthReplica(d.group, 0).Crash()
		return d.addHosts(3)
	}},
	{"one replica empty", func(d *deployment) int {
		d.killHosts()
		d.loseLog()
		replica := nthReplica(d.group, 0)
		replica.Crash()
		require.NoError(d.t, replica.RestartEmpty(false))
		return d.addHosts(3)
	}},
	{"started while the primary is away", func(d *deployment) int {
		d.killHosts()
		old := d.group.Primary()
		old.Crash()
		first := d.addHosts(3)
		require.NoError(d.t, old.RestartEmpty(true))
		return first
	}},
	{"after a failover with writes", func(d *deployment) int {
		d.failOver()
		d.connect(1, "own").awaitWrite("later")
		d.awaitReplicas()
		d.killHosts()
		d.loseLog()
		return d.addHosts(3)
	}},
	{"after a failover without writes", func(d *deployment) int {
		d.failOver()
		d.killHosts()
		d.loseLog()
		return d.addHosts(3)
	}},
}

// failOver crashes the primary, waits for its successor and restarts it as a replica.
func (d *deployment) failOver() {
	d.t.Helper()
	old := d.group.Primary()
	old.Crash()
	d.connect(0, "strict").awaitRead("item-7")
	require.NotEqual(d.t, old, d.group.Primary())
	require.NoError(d.t, old.Restart())
	d.awaitReplicas()
}

// TestReadsBesideEmptyPrimaryHaveAcknowledgedWrites guards against reads that miss
// acknowledged writes on a host that has not seen how far the log of a primary went that
// has lost it.
func TestReadsBesideEmptyPrimaryHaveAcknowledgedWrites(t *testing.T) {
	for _, c := range emptyPrimaryCases {
		for _, database := range []string{"strict", "own", "bounded"} {
			t.Run(c.name+"/"+database, func(t *testing.T) {
				t.Parallel()
				d := deployWithItems(t)
				host := c.prepare(d)
				require.Equal(t, []string{"x"}, d.connect(host, database).awaitRead("item-7"), "acknowledged write lost")
			})
		}
	}
}

// TestWritesBesideEmptyPrimaryAreKept guards against a write that such a host has the empty
// primary acknowledge, and that is lost when the primary is replaced.
func TestWritesBesideEmptyPrimaryAreKept(t *testing.T) {
	for _, c := range emptyPrimaryCases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			d := deployWithItems(t)
			host := c.prepare(d)
			empty := d.group.Primary()
			d.connect(host, "own").awaitWrite("after")
			require.NotEqual(t, empty, d.group.Primary(), "the empty primary acknowledged the write")
			for _, item := range []string{"after", "item-7"} {
				require.Equal(t, []string{"x"}, d.connect(host, "strict").awaitRead(item), "acknowledged write lost")
			}
		})
	}
}

// TestTransactionBesideEmptyPrimaryIsKept: the same for a transaction.
func TestTransactionBesideEmptyPrimaryIsKept(t *testing.T) {
	d := deployWithItems(t)
	d.loseLog()
	d.addHost()
	c := d.connect(3, "own")
	require.Eventually(t, func() bool {
		if res, err := c.try("BEGIN"); err != nil || res.code != "" {
			return false
		}
		for _, text := range []string{"FETCH item-7", "STORE after x", "COMMIT"} {
			res, err := c.try(text)
			require.NoError(t, err)
			if res.code != "" {
				_, err = c.try("ROLLBACK")
				require.NoError(t, err)
				return false
			}
			if text == "FETCH item-7" {
				require.Equal(t, []string{"x"}, res.rows, "acknowledged write lost")
			}
		}
		return true
	}, waitLimit, pollInterval)
	require.Equal(t, []string{"x"}, d.connect(0, "strict").awaitRead("after"), "acknowledged write lost")
}

// TestPrimaryBehindReplicaIsKept guards against a healthy primary taken for one that has
// lost its log: a replica was ahead of it when it was promoted, and rolls back later than
// hosts start that have not seen either log.
func TestPrimaryBehindReplicaIsKept(t *testing.T) {
	d := deploy(t, 3, options())
	behind, ahead := nthReplica(d.group, 0), nthReplica(d.group, 1)
	c := d.connect(0, "own")
	c.must("STORE first x")
	d.awaitReplicas()
	behind.SetReplicationBlocked(true)
	c.must("STORE second x")
	require.Eventually(t, func() bool { return ahead.Position() == d.group.Primary().Position() }, waitLimit, pollInterval)
	d.killHosts()
	d.group.SetRollbackHeld(true)
	require.True(t, d.group.Promote(behind))
	require.Eventually(t, func() bool { return d.group.Primary() == behind }, waitLimit, pollInterval)
	for range 3 {
		d.addHost()
	}
	// The hosts are asked while the replica is still ahead.
	time.AfterFunc(600*time.Millisecond, func() { d.group.SetRollbackHeld(false) })
	for host := 3; host < 6; host++ {
		d.connect(host, "strict").awaitRead("first")
		d.connect(host, "own").awaitWrite(fmt.Sprint("after-", host))
	}
	require.Equal(t, behind, d.group.Primary())
	require.Equal(t, uint64(2), d.group.Term(), "it was replaced")
}

// TestPrimaryAloneIsServed: a zone that is cut off serves what it can, also when no replica
// and no other host can tell how far the primary's log went.
func TestPrimaryAloneIsServed(t *testing.T) {
	d := deployWithItems(t)
	d.killHosts()
	primary := d.group.Primary()
	for _, m := range d.group.Members() {
		if m != primary {
			m.SetUnresponsive(true)
		}
	}
	d.addHost()
	require.Equal(t, []string{"x"}, d.connect(3, "strict").awaitRead("item-7"))
	d.connect(3, "own").awaitWrite("after")
	require.Equal(t, primary, d.group.Primary())
}

// TestEmptyPrimaryIsReplacedOnceReplicasAnswer: a host that trusted a primary because nobody
// could tell asks again.
func TestEmptyPrimaryIsReplacedOnceReplicasAnswer(t *testing.T) {
	d := deployWithItems(t)
	d.killHosts()
	empty := d.loseLog()
	replicas := slices.DeleteFunc(d.group.Members(), func(m *lineplatform.Member) bool { return m == empty })
	for _, m := range replicas {
		m.SetUnresponsive(true)
	}
	d.addHost()
	c := d.connect(3, "strict")
	c.awaitRead("item-7")
	for _, m := range replicas {
		m.SetUnresponsive(false)
	}
	require.Eventually(t, func() bool {
		res, err := c.try("FETCH item-7")
		return err == nil && res.code == "" && res.rows[0] == "x"
	}, waitLimit, pollInterval)
	require.NotEqual(t, empty, d.group.Primary())
}

// TestVerifiedPrimaryIsNotAskedForEachStatement guards against logins and statuses that grow
// with the load: each gate of the primary compares its log once.
func TestVerifiedPrimaryIsNotAskedForEachStatement(t *testing.T) {
	d := deploy(t, 9, options())
	for i := range d.hosts {
		d.connect(i, "strict").awaitRead("item")
	}
	logins := func() (sum int64) {
		for _, m := range d.group.Members() {
			accepted, refused := m.Logins()
			sum += accepted + refused
		}
		return sum
	}
	before := logins()
	// Two gates log in to the primary, and at most each of them to two replicas.
	require.LessOrEqual(t, before, int64(2*3))
	for range 20 {
		for i := range d.hosts {
			d.connect(i, "strict").awaitRead("item")
		}
	}
	require.LessOrEqual(t, logins()-before, int64(2), "connections, at most")
}

// TestGateWithOldMarkDoesNotBelieveEmptyPrimary guards against reads that miss acknowledged
// writes through a gate that has known the primary since before other gates sent them.
func TestGateWithOldMarkDoesNotBelieveEmptyPrimary(t *testing.T) {
	for gate := range 3 {
		t.Run(fmt.Sprint("host ", gate), func(t *testing.T) {
			t.Parallel()
			d := deploy(t, 3, options())
			for host := range d.hosts {
				d.connect(host, "strict").awaitRead("item-7")
			}
			writer := d.connect((gate+1)%3, "own")
			for n := range 20 {
				writer.must(fmt.Sprintf("STORE item-%d x", n))
			}
			d.awaitReplicas()
			d.loseLog()
			require.Equal(t, []string{"x"}, d.connect(gate, "strict").awaitRead("item-7"), "acknowledged write lost")
		})
	}
}
