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

// TestCrashedPrimaryIsReplaced: every acknowledged write is kept once, and
// writes go on.
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
				require.Equal(t, 1, d.group.Committed(res.id))
			}
			if linecaller.Promised(res.code) {
				require.Zero(t, d.group.Committed(res.id), "%s is a promise", res.code)
			}
			return res.code == ""
		}, waitLimit, pollInterval)
	}
	require.NotEqual(t, old.ID, d.group.Primary().ID)
}

// TestMinoritySuspicionDoesNotPromote: one host of three cannot
// reach the primary; the others' acknowledged writes must survive.
func TestMinoritySuspicionDoesNotPromote(t *testing.T) {
	d := deploy(t, 3, options())
	primary := d.group.Primary()
	key := "dotterelswitch/suspects/svc/" + primary.ID + "/host-1"
	d.platform.Store.Put(key, strconv.AppendUint(nil, d.platform.Store.Era(), 10))
	time.Sleep(time.Second)
	require.Equal(t, primary.ID, d.group.Primary().ID)
}

// TestPrimaryDrainKeepsAcknowledgedWrites: writes run while the primary leaves.
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
			require.Equal(t, []string{"x"}, reader.must("FETCH "+id).rows, "an acknowledged write is gone")
		}
	}
}

// writeUntil writes items of their own and returns those acknowledged.
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

// TestBoundedReadUsesFloorFromPeer replays the return
// of all hosts after a power loss: the dead connections still fill the
// primary, one host got what was left, and reads must not wait for it.
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

// keepFloorFresh has a session write until the test ends.
func keepFloorFresh(t *testing.T, c *client) {
	stop, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
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
	t.Cleanup(func() { close(stop); <-ended })
}

// occupyConnections takes the connections of a member that are left.
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

// TestCompactedWatchLearnsOfConfigChange: a store that drops its history leaves waiting
// watches without news.
func TestCompactedWatchLearnsOfConfigChange(t *testing.T) {
	d := deploy(t, 1, options())
	d.platform.Store.Deafen(true)
	began := time.Now()
	version := d.platform.Configure(routes(7*time.Second), timeout)
	d.platform.Store.Compact()
	d.platform.Store.Deafen(false)
	require.Eventually(t, func() bool { return d.hosts[0].Catalog().Version == version }, waitLimit, pollInterval)
	// The shortest bound of a deployment is 3 s; a watch that waits for all of
	// its 30 s would be far beyond any slowness of the machine.
	require.Less(t, time.Since(began), 15*time.Second)
}

func TestServesDuringStoreOutage(t *testing.T) {
	for _, outage := range []lineplatform.Outage{lineplatform.Refusing, lineplatform.Silent} {
		d := deploy(t, 1, options())
		c := d.connect(0, "own")
		c.must("STORE item x")
		d.platform.Store.Fail(outage)
		for range 20 {
			c.must("STORE item y")
			require.Equal(t, []string{"y"}, c.must("FETCH item").rows)
			time.Sleep(20 * time.Millisecond)
		}
		d.platform.Store.Fail(lineplatform.Up)
		version := d.platform.Configure(routes(7*time.Second), timeout)
		require.Eventually(t, func() bool { return d.hosts[0].Catalog().Version == version }, waitLimit, pollInterval)
	}
}

// TestExpiredMemberEntriesDoNotInterruptService: entries lapse while the store is
// away, and are back soon after.
func TestExpiredMemberEntriesDoNotInterruptService(t *testing.T) {
	d := deploy(t, 1, options())
	c := d.connect(0, "own")
	c.must("STORE item x")
	for _, m := range d.group.Members() {
		m.Lapse()
	}
	for range 20 {
		c.must("STORE item y")
		time.Sleep(20 * time.Millisecond)
	}
	for _, m := range d.group.Members() {
		m.Announce()
	}
	time.Sleep(3 * time.Second)
	c.must("STORE item z")
}

// TestStopAnswersRunningStatements: sessions that are idle are closed, and what runs is
// answered.
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
			require.Zero(t, d.group.Committed(res.id), "a statement that ran got no answer")
			break
		}
		require.Empty(t, res.code)
		answered++
	}
	require.Positive(t, answered)
	require.True(t, <-stopped)
	require.Error(t, idle.session.AwaitClose())
}

// TestHostCutOffFromStoreLearnsConfigFromPeers: the store turns one host
// away for longer than any bound and serves the other.
func TestHostCutOffFromStoreLearnsConfigFromPeers(t *testing.T) {
	d := deploy(t, 1, options())
	d.addHostsBehindProxies(1)
	cut := d.hosts[1]
	d.proxies[1].Close()
	version := d.platform.Configure(routes(7*time.Second), timeout)
	require.Eventually(t, func() bool { return cut.Catalog().Version == version }, waitLimit, pollInterval)
	d.connect(1, "own").must("STORE item x")
}

// TestWritesAreRefusedImmediatelyInLongPrimaryOutage: with the store away nothing can
// replace a dead primary. Statements are held while a promotion could still
// come, and refused at once after that.
func TestWritesAreRefusedImmediatelyInLongPrimaryOutage(t *testing.T) {
	d := deploy(t, 1, options())
	c := d.connect(0, "strict")
	c.must("STORE item x")
	d.platform.Store.Fail(lineplatform.Refusing)
	d.group.Primary().Crash()
	var res result
	require.Eventually(t, func() bool {
		began := time.Now()
		res = c.do("STORE item y")
		return res.code == "BUSY" && time.Since(began) < time.Second
	}, 2*waitLimit, pollInterval)
	require.Contains(t, res.detail, "retry after")
	require.Zero(t, d.group.Committed(res.id))
}

// TestStoppingHostCompletesRemoteTransactions: a host that keeps connections stops
// while transactions of other hosts are open on them.
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
			ended := make(chan bool, 1)
			go func() { ended <- d.hosts[stopped].Stop() }()
			require.Eventually(t, func() bool { return !d.hosts[stopped].Ready() }, waitLimit, pollInterval)
			time.Sleep(time.Second)
			for _, c := range clients {
				w := c.must("STORE after x")
				c.must("COMMIT")
				require.Equal(t, 1, d.group.Committed(w.id))
			}
			require.True(t, <-ended)
		})
	}
}
