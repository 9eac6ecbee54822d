package entry_test

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestStatements(t *testing.T) {
	d := deploy(t, 1, options())
	c := d.connect(0, "own")
	w := c.must("STORE item-1 hello world")
	require.True(t, strings.HasSuffix(w.signature, w.id), "signed by a member for this request")
	require.Equal(t, []string{"hello world"}, c.must("FETCH item-1").rows, "a session sees its own write at once")
	require.Equal(t, "-", c.must("PREPARE s1 FETCH q2").signature)
	require.Equal(t, []string{"hello world"}, c.must("EXECUTE s1 item-1").rows)
	require.Equal(t, "MALFORMED", c.do("EXECUTE s2 item-1").code)
	c.must("SET zone a b")
	require.Equal(t, []string{"hello world"}, c.must("FETCH item-1").rows)

	require.Equal(t, "T", c.must("BEGIN").state)
	c.must("STORE item-2 x")
	require.Equal(t, "I", c.must("ROLLBACK").state)
	require.Equal(t, []string{"none"}, c.must("FETCH item-2").rows)
	c.must("BEGIN")
	kept := c.must("STORE item-2 y")
	c.must("COMMIT")
	require.Equal(t, []string{"y"}, c.must("FETCH item-2").rows)
	require.Equal(t, 1, d.group.Committed(kept.id))
}

func TestMalformedInputIsRefused(t *testing.T) {
	d := deploy(t, 1, options())
	c := d.connect(0, "strict")
	for _, text := range []string{"DROP x", "AFTER 1.1 FETCH a", "STATUS", "STORE a", "COMMIT"} {
		res := c.do(text)
		require.Equal(t, "MALFORMED", res.code, text)
		require.Equal(t, "I", res.state)
	}
	c.must("STORE a b")
	nc, err := net.Dial("tcp", d.settings[0].CallerAddress)
	require.NoError(t, err)
	defer func() { _ = nc.Close() }()
	_, err = nc.Write([]byte("START nowhere me\r\n"))
	require.NoError(t, err)
	buf := make([]byte, 100)
	n, err := nc.Read(buf)
	require.NoError(t, err)
	require.Contains(t, string(buf[:n]), "ERROR NODB")
}

// TestDeposedPrimaryServesNoStrictRead: a member that lost the lead without
// this host's knowledge still answers plain reads, from a log that lacks its
// successor's commits.
func TestDeposedPrimaryServesNoStrictRead(t *testing.T) {
	d := deploy(t, 1, options())
	c := d.connect(0, "strict")
	c.must("STORE item old")
	old := d.group.Primary()
	old.Deafen(true)
	old.Depose()
	before := len(d.group.Runs())
	done := make(chan result, 1)
	go func() {
		res, err := c.try("FETCH item")
		if err == nil {
			done <- res
		}
	}()
	select {
	case res := <-done:
		for _, run := range d.group.Runs()[before:] {
			require.NotEqual(t, old.ID, run.Member, "the read ran on the deposed member")
		}
		require.NotEmpty(t, res.code+strings.Join(res.rows, ""))
	case <-time.After(time.Second):
		// It waits for a primary, which is as good.
	}
}

// TestUnansweredWriteIsInDoubt: once a write was handed over, only its answer
// tells; it must not be run again.
func TestUnansweredWriteIsInDoubt(t *testing.T) {
	d := deploy(t, 1, options())
	d.platform.Configure(routes(300*time.Millisecond), timeout)
	c := d.connect(0, "strict")
	require.Eventually(t, func() bool { return c.must("STORE warm up").code == "" }, waitLimit, pollInterval)
	waitForTimeout(t, d, 300*time.Millisecond)
	d.group.Primary().LoseAnswers(1)
	res := c.do("STORE item x")
	require.Equal(t, "INDOUBT", res.code)
	require.Equal(t, 1, d.group.Committed(res.id))
}

// waitForTimeout waits until the configuration with a statement timeout is in
// force.
func waitForTimeout(t *testing.T, d *deployment, want time.Duration) {
	t.Helper()
	require.Eventually(t, func() bool {
		r, found := d.hosts[0].Catalog().Route("strict")
		return found && r.StatementTimeout == want
	}, waitLimit, pollInterval)
}

// TestBusyRefusalIsRetriedOnAnotherMember: a promise that nothing ran allows another
// try.
func TestBusyRefusalIsRetriedOnAnotherMember(t *testing.T) {
	d := deploy(t, 1, options())
	c := d.connect(0, "own")
	c.must("STORE item x")
	for _, m := range d.group.Members() {
		m.RefuseNext(1)
	}
	require.Equal(t, []string{"x"}, c.must("FETCH item").rows)
	w := c.must("STORE item y")
	require.Equal(t, 1, d.group.Committed(w.id))
}

// TestIdleTransactionTimesOut: the configuration bounds how long a transaction
// may rest; its writes are dropped and the caller is told.
func TestIdleTransactionTimesOut(t *testing.T) {
	d := deploy(t, 1, options())
	d.platform.Configure(routes(timeout), 200*time.Millisecond)
	require.Eventually(t, func() bool { return d.hosts[0].Catalog().TxIdleTimeout == 200*time.Millisecond }, waitLimit, pollInterval)
	c := d.connect(0, "strict")
	c.must("BEGIN")
	w := c.must("STORE item x")
	time.Sleep(1500 * time.Millisecond)
	res := c.do("STORE item y")
	require.Equal(t, "ABORTED", res.code)
	require.Equal(t, "E", res.state)
	require.Equal(t, "I", c.must("ROLLBACK").state)
	require.Zero(t, d.group.Committed(w.id))
}

// TestSessionsAreIsolatedOnPooledConnections runs sessions with values and prepared names of their
// own over few connections and checks each answer.
func TestSessionsAreIsolatedOnPooledConnections(t *testing.T) {
	o := options()
	o.MaxConnections = 4
	d := deploy(t, 1, o)
	const sessions, rounds = 12, 15
	failed := make(chan error, sessions)
	for i := range sessions {
		c := d.connect(0, []string{"strict", "own"}[i%2])
		go func() { failed <- runSession(c, i, rounds) }()
	}
	for range sessions {
		require.NoError(t, <-failed)
	}
}

func runSession(c *client, i, rounds int) error {
	item := fmt.Sprintf("item-%d", i)
	for _, text := range []string{fmt.Sprintf("SET who %d", i), fmt.Sprintf("PREPARE s STORE shape-%d", i%3)} {
		if res, err := c.try(text); err != nil || res.code != "" {
			return fmt.Errorf("%s: %+v %w", text, res, err)
		}
	}
	for n := range rounds {
		want := fmt.Sprintf("%d-%d", i, n)
		if res, err := c.try("EXECUTE s " + item + " " + want); err != nil || res.code != "" {
			return fmt.Errorf("write: %+v %w", res, err)
		}
		res, err := c.try("FETCH " + item)
		if err != nil || res.code != "" || res.rows[0] != want {
			return fmt.Errorf("read: %+v %w, want %s", res, err, want)
		}
	}
	return nil
}

// TestReadWithLostAnswerIsRetriedElsewhere: a member that ran a read and did not
// answer must not use up the read's whole time.
func TestReadWithLostAnswerIsRetriedElsewhere(t *testing.T) {
	d := deploy(t, 1, options())
	d.setLatencyTarget(200*time.Millisecond, timeout)
	c := d.connect(0, "own")
	c.must("STORE item x")
	for _, m := range d.group.Members() {
		if m != d.group.Primary() {
			m.LoseAnswers(1)
		}
	}
	began := time.Now()
	require.Equal(t, []string{"x"}, c.must("FETCH item").rows)
	require.Less(t, time.Since(began), timeout/2, "without another try the answer comes at the timeout or never")
}
