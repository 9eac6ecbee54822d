package entry_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/standin/lineplatform"
)

// awaitWrite waits until a write succeeds and returns the time that it took.
func (c *client) awaitWrite(item string) time.Duration {
	c.t.Helper()
	startedAt := time.Now()
	require.Eventually(c.t, func() bool {
		res, err := c.try("STORE " + item + " x")
		require.NoError(c.t, err)
		return res.code == ""
	}, waitLimit, pollInterval)
	return time.Since(startedAt)
}

// awaitReplicas waits until all members have the complete log.
func (d *deployment) awaitReplicas() {
	d.t.Helper()
	end := d.group.Primary().Position()
	for _, m := range d.group.Members() {
		require.Eventually(d.t, func() bool { return m.Position() == end }, waitLimit, pollInterval)
	}
}

// deployWithItems starts three hosts and writes item-0 to item-19, which all members have.
func deployWithItems(t *testing.T) *deployment {
	t.Helper()
	d := deploy(t, 3, options())
	c := d.connect(0, "strict")
	for n := range 20 {
		c.must(fmt.Sprintf("STORE item-%d x", n))
	}
	d.awaitReplicas()
	return d
}

// TestPrimaryRestartedEmptyIsReplaced: a primary that restarts with an empty log and
// claims its former term must be replaced by a replica with the acknowledged writes.
func TestPrimaryRestartedEmptyIsReplaced(t *testing.T) {
	d := deploy(t, 3, options())
	c := d.connect(0, "strict")
	for n := range 20 {
		c.must(fmt.Sprintf("STORE item-%d x", n))
	}
	d.awaitReplicas()
	old := d.group.Primary()
	old.Crash()
	require.NoError(t, old.RestartEmpty(true))
	reader := d.connect(1, "strict")
	require.Eventually(t, func() bool {
		res, err := reader.try("FETCH item-7")
		require.NoError(t, err)
		if res.code == "" {
			require.Equal(t, []string{"x"}, res.rows, "acknowledged write lost")
		}
		return res.code == ""
	}, waitLimit, pollInterval)
	d.connect(2, "own").awaitWrite("after")
	require.NotEqual(t, old.ID, d.group.Primary().ID)
}

// TestStartedHostDoesNotBelieveEmptyPrimary guards against reads that miss acknowledged
// writes: all hosts start anew beside a primary that has lost its log and claims its
// former term, so that none of them has seen how far its log went.
func TestStartedHostDoesNotBelieveEmptyPrimary(t *testing.T) {
	d := deployWithItems(t)
	for _, h := range d.hosts {
		h.Kill()
	}
	old := d.group.Primary()
	old.Crash()
	require.NoError(t, old.RestartEmpty(true))
	started := len(d.hosts)
	for range 3 {
		d.addHost()
	}
	require.Equal(t, []string{"x"}, d.connect(started, "strict").awaitRead("item-7"), "acknowledged write lost")
}

// awaitRead repeats a read until it is served and returns its rows.
func (c *client) awaitRead(item string) []string {
	c.t.Helper()
	for deadline := time.Now().Add(waitLimit); time.Now().Before(deadline); time.Sleep(pollInterval) {
		if res, err := c.try("FETCH " + item); err == nil && res.code == "" {
			return res.rows
		}
	}
	c.t.Fatalf("%s was not read within %s", item, waitLimit)
	return nil
}

// TestWriteToEmptyPrimaryIsNotAcknowledged guards against a write that is acknowledged by a
// primary that has lost its log, and is gone once the primary is replaced.
func TestWriteToEmptyPrimaryIsNotAcknowledged(t *testing.T) {
	d := deployWithItems(t)
	old := d.group.Primary()
	old.Crash()
	require.NoError(t, old.RestartEmpty(true))
	d.connect(0, "strict").awaitWrite("after")
	require.Eventually(t, func() bool { return d.group.Primary() != old }, waitLimit, pollInterval)
	require.Equal(t, []string{"x"}, d.connect(1, "strict").awaitRead("after"), "acknowledged write lost")
}

// TestReplicaRestartedEmptyServesNoStaleRead: a replica that restarts has lost its
// log, prepared statements and session values.
func TestReplicaRestartedEmptyServesNoStaleRead(t *testing.T) {
	o := options()
	o.ReplicationLag = 300 * time.Millisecond
	d := deploy(t, 2, o)
	c := d.connect(0, "own")
	c.must("SET region north")
	c.must("PREPARE get FETCH q")
	for n := range 60 {
		c.must("STORE item " + fmt.Sprint(n))
		require.Equal(t, []string{fmt.Sprint(n)}, c.must("EXECUTE get item").rows)
		if n%20 == 10 {
			m := nthReplica(d.group, n)
			m.Crash()
			require.NoError(t, m.RestartEmpty(false))
		}
	}
}

func nthReplica(g *lineplatform.Group, n int) *lineplatform.Member {
	var replicas []*lineplatform.Member
	for _, m := range g.Members() {
		if m != g.Primary() {
			replicas = append(replicas, m)
		}
	}
	return replicas[n%len(replicas)]
}

// TestStaleMemberEntryDoesNotReplacePrimary: a delayed heartbeat registers a primary
// that no longer exists, at the address of the current one.
func TestStaleMemberEntryDoesNotReplacePrimary(t *testing.T) {
	d := deploy(t, 2, options())
	c := d.connect(0, "strict")
	c.must("STORE item x")
	primary := d.group.Primary()
	d.platform.Store.Put("servers/svc-ghost", []byte(fmt.Sprintf(
		`{"service":"svc","address":%q,"zone":"a","version":"v1","capacity":2,"state":"ready","cold_left_ms":0,"db_role":"primary","sequence":11}`,
		primary.AdvertisedAddress())))
	for range 30 {
		c.awaitWrite("item")
		time.Sleep(20 * time.Millisecond)
	}
	require.Less(t, c.awaitWrite("item"), time.Second)
	require.Equal(t, primary.ID, d.group.Primary().ID, "a live primary was replaced")
}

// TestMalformedMemberEntriesAreIgnored: invalid entries, whether additional or in
// place of a member's entry, must not affect reads and writes.
func TestMalformedMemberEntriesAreIgnored(t *testing.T) {
	d := deploy(t, 2, options())
	c := d.connect(0, "own")
	replica := nthReplica(d.group, 0)
	for n, invalid := range []string{"", "null", "[1]", `{"service":7}`, `{"service":"svc","state":"odd"}`, "\xff\xfe"} {
		d.platform.Store.Put(fmt.Sprintf("servers/odd-%d", n), []byte(invalid))
		d.platform.Store.Put("servers/"+replica.ID, []byte(invalid))
		for range 10 {
			c.must(fmt.Sprintf("STORE item %d", n))
			require.Equal(t, []string{fmt.Sprint(n)}, c.must("FETCH item").rows)
		}
		replica.Register()
	}
}
