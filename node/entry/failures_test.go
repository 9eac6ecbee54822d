package entry_test

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/standin/linecaller"
	"github.com/dotterelswitch/dotterelswitch/standin/lineplatform"
)

// TestCrashedPrimaryIsReplaced: each acknowledged write is committed exactly once,
// and writes resume.
func TestCrashedPrimaryIsReplaced(t *testing.T) {
	d := deploy(t, 3, options())
	var clients []*client
	for i := range d.hosts {
		c := d.connect(i, "own")
		c.must("STORE before x")
		clients = append(clients, c)
	}
	old := d.group.Primary()
	old.Crash()
	for i, c := range clients {
		i := i
		require.Eventually(t, func() bool {
			res, err := c.try(fmt.Sprintf("STORE after-%d x", i))
			require.NoError(t, err)
			if res.code == "" {
				require.Equal(t, 1, d.group.CommitCount(res.id))
			}
			if linecaller.NoEffect(res.code) {
				require.Zero(t, d.group.CommitCount(res.id), "%s promises that nothing was committed", res.code)
			}
			return res.code == ""
		}, waitLimit, pollInterval)
	}
	require.NotEqual(t, old.ID, d.group.Primary().ID)
}

// TestMinoritySuspicionDoesNotPromote: one host of three suspects the primary, which
// must not be replaced.
func TestMinoritySuspicionDoesNotPromote(t *testing.T) {
	d := deploy(t, 3, options())
	primary := d.group.Primary()
	key := "dotterelswitch/suspects/svc/" + primary.ID + "/host-1"
	d.platform.Store.Put(key, strconv.AppendUint(nil, d.platform.Store.Epoch(), 10))
	time.Sleep(time.Second)
	require.Equal(t, primary.ID, d.group.Primary().ID)
}

// TestPrimaryDrainKeepsAcknowledgedWrites guards against the loss of acknowledged
// writes while the primary drains.
func TestPrimaryDrainKeepsAcknowledgedWrites(t *testing.T) {
	d := deploy(t, 2, options())
	old := d.group.Primary()
	stop := make(chan struct{})
	done := make(chan []string, 2)
	for i := range 2 {
		c := d.connect(i, "strict")
		go func() { done <- writeUntil(c, stop) }()
	}
	time.Sleep(100 * time.Millisecond)
	old.Drain()
	require.Eventually(t, func() bool {
		p := d.group.Primary()
		return p != nil && p.ID != old.ID
	}, waitLimit, pollInterval)
	time.Sleep(200 * time.Millisecond)
	close(stop)
	reader := d.connect(0, "strict")
	for range 2 {
		for _, id := range <-done {
			require.Equal(t, []string{"x"}, reader.must("FETCH "+id).rows, "acknowledged write lost")
		}
	}
}

// TestReadsOfFailingReplicaAreServed guards against a replica whose failures reach the
// callers while another member can serve.
func TestReadsOfFailingReplicaAreServed(t *testing.T) {
	d := deploy(t, 2, options())
	clients := []*client{d.connect(0, "bounded"), d.connect(1, "own")}
	clients[1].must("STORE item x")
	for _, m := range d.group.Members() {
		m.SetFailing(m != d.group.Primary() && m != d.group.Members()[2])
	}
	for range 100 {
		for _, c := range clients {
			c.must("FETCH item")
		}
	}
}

// writeUntil writes distinct items until stop is closed and returns the
// acknowledged ones.
func writeUntil(c *client, stop chan struct{}) []string {
	var acknowledged []string
	for n := 0; ; n++ {
		select {
		case <-stop:
			return acknowledged
		default:
		}
		item := fmt.Sprintf("%s-%d", c.name, n)
		res, err := c.try("STORE " + item + " x")
		if err != nil {
			return acknowledged
		}
		if res.code == "" {
			acknowledged = append(acknowledged, item)
		}
	}
}

// TestBoundedReadUsesFloorFromPeer: a host gets no connection to the primary because
// its limit is used up. Bounded reads must use another host's floor.
func TestBoundedReadUsesFloorFromPeer(t *testing.T) {
	o := options()
	o.MaxConnections = 4
	d := deploy(t, 1, o)
	connected := d.connect(0, "own")
	connected.must("STORE item x")
	occupyConnections(t, d.group.Primary(), o.MaxConnections)
	d.addHost()
	keepFloorFresh(t, connected)
	require.Equal(t, []string{"x"}, d.connect(1, "bounded").must("FETCH item").rows)
}

// keepFloorFresh writes periodically through a session until the test ends.
func keepFloorFresh(t *testing.T, c *client) {
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case <-stop:
				return
			case <-time.After(100 * time.Millisecond):
			}
			if _, err := c.try("STORE beat x"); err != nil {
				return
			}
		}
	}()
	t.Cleanup(func() { close(stop); <-done })
}

// occupyConnections opens limit connections to a member, to use up the free ones.
func occupyConnections(t *testing.T, m *lineplatform.Member, limit int) {
	t.Helper()
	for range limit {
		nc, err := net.Dial("tcp", m.Address())
		require.NoError(t, err)
		t.Cleanup(func() { _ = nc.Close() })
		_, err = fmt.Fprintf(nc, "START svc filler %s\r\n", m.ID)
		require.NoError(t, err)
		_, err = bufio.NewReader(nc).ReadString('\n')
		require.NoError(t, err)
	}
}

// TestCompactedWatchLearnsOfConfigChange guards against a watch that blocks for its
// full timeout after the store has compacted the change it waits for.
func TestCompactedWatchLearnsOfConfigChange(t *testing.T) {
	d := deploy(t, 1, options())
	d.platform.Store.SetWatchesBlocked(true)
	startedAt := time.Now()
	version := d.platform.Configure(routes(7*time.Second), timeout)
	d.platform.Store.Compact()
	d.platform.Store.SetWatchesBlocked(false)
	require.Eventually(t, func() bool { return d.hosts[0].Catalog().Version == version }, waitLimit, pollInterval)
	// Well below the watch's full timeout of 30 s.
	require.Less(t, time.Since(startedAt), 15*time.Second)
}

func TestServesDuringStoreOutage(t *testing.T) {
	for _, outage := range []lineplatform.FailureMode{lineplatform.Unavailable, lineplatform.Unresponsive} {
		d := deploy(t, 1, options())
		c := d.connect(0, "own")
		c.must("STORE item x")
		d.platform.Store.SetFailureMode(outage)
		for range 20 {
			c.must("STORE item y")
			require.Equal(t, []string{"y"}, c.must("FETCH item").rows)
			time.Sleep(20 * time.Millisecond)
		}
		d.platform.Store.SetFailureMode(lineplatform.Healthy)
		version := d.platform.Configure(routes(7*time.Second), timeout)
		require.Eventually(t, func() bool { return d.hosts[0].Catalog().Version == version }, waitLimit, pollInterval)
	}
}

// TestExpiredMemberEntriesDoNotInterruptService: the members' entries expire and are
// registered again; writes must succeed throughout.
func TestExpiredMemberEntriesDoNotInterruptService(t *testing.T) {
	d := deploy(t, 1, options())
	c := d.connect(0, "own")
	c.must("STORE item x")
	for _, m := range d.group.Members() {
		m.Deregister()
	}
	for range 20 {
		c.must("STORE item y")
		time.Sleep(20 * time.Millisecond)
	}
	for _, m := range d.group.Members() {
		m.Register()
	}
	time.Sleep(3 * time.Second)
	c.must("STORE item z")
}

// TestStopAnswersRunningStatements: a graceful stop closes idle sessions and answers
// running statements.
func TestStopAnswersRunningStatements(t *testing.T) {
	d := deploy(t, 1, options())
	idle, busy := d.connect(0, "own"), d.connect(0, "own")
	stopped := make(chan bool, 1)
	go func() { stopped <- d.hosts[0].Stop() }()
	require.Eventually(t, func() bool { return !d.hosts[0].Ready() }, waitLimit, pollInterval)
	answered := 0
	for {
		res, err := busy.try("STORE item x")
		if err != nil {
			require.Zero(t, d.group.CommitCount(res.id), "a committed statement was not answered")
			break
		}
		require.Empty(t, res.code)
		answered++
	}
	require.Positive(t, answered)
	require.True(t, <-stopped)
	require.Error(t, idle.session.AwaitClose())
}

// TestHostCutOffFromStoreLearnsConfigFromPeers: one host has no connection to the
// store and must receive configuration changes from the other.
func TestHostCutOffFromStoreLearnsConfigFromPeers(t *testing.T) {
	d := deploy(t, 1, options())
	d.addHostsBehindProxies(1)
	isolated := d.hosts[1]
	d.proxies[1].Close()
	version := d.platform.Configure(routes(7*time.Second), timeout)
	require.Eventually(t, func() bool { return isolated.Catalog().Version == version }, waitLimit, pollInterval)
	d.connect(1, "own").must("STORE item x")
}

// TestWritesAreRefusedImmediatelyInLongPrimaryOutage: without the store no promotion
// is possible. Writes wait while one may still happen, then are refused immediately.
func TestWritesAreRefusedImmediatelyInLongPrimaryOutage(t *testing.T) {
	d := deploy(t, 1, options())
	c := d.connect(0, "strict")
	c.must("STORE item x")
	d.platform.Store.SetFailureMode(lineplatform.Unavailable)
	d.group.Primary().Crash()
	var res result
	require.Eventually(t, func() bool {
		startedAt := time.Now()
		res = c.do("STORE item y")
		return res.code == "BUSY" && time.Since(startedAt) < time.Second
	}, 2*waitLimit, pollInterval)
	require.Contains(t, res.detail, "retry after")
	require.Zero(t, d.group.CommitCount(res.id))
}

// TestStoppingHostCompletesRemoteTransactions: a host stops while other hosts have
// open transactions on its connections, which must still commit.
func TestStoppingHostCompletesRemoteTransactions(t *testing.T) {
	for stopped := range 3 {
		t.Run(fmt.Sprintf("host %d", stopped), func(t *testing.T) {
			d := deploy(t, 3, options())
			var clients []*client
			for i := range d.hosts {
				if i == stopped {
					continue
				}
				c := d.connect(i, "strict")
				c.must("BEGIN")
				c.must("STORE before x")
				clients = append(clients, c)
			}
			clean := make(chan bool, 1)
			go func() { clean <- d.hosts[stopped].Stop() }()
			require.Eventually(t, func() bool { return !d.hosts[stopped].Ready() }, waitLimit, pollInterval)
			time.Sleep(time.Second)
			for _, c := range clients {
				w := c.must("STORE after x")
				c.must("COMMIT")
				require.Equal(t, 1, d.group.CommitCount(w.id))
			}
			require.True(t, <-clean)
		})
	}
}
