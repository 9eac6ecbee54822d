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
	require.True(t, strings.HasSuffix(w.signature, w.id), "the signature is for this request")
	require.Equal(t, []string{"hello world"}, c.must("FETCH item-1").rows, "a session must read its own write")
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
	committed := c.must("STORE item-2 y")
	c.must("COMMIT")
	require.Equal(t, []string{"y"}, c.must("FETCH item-2").rows)
	require.Equal(t, 1, d.group.CommitCount(committed.id))
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

// TestDeposedPrimaryServesNoStrictRead: a member was deposed without the host's
// knowledge. Strict reads must not run on it, as its log lacks the new primary's
// commits.
func TestDeposedPrimaryServesNoStrictRead(t *testing.T) {
	d := deploy(t, 1, options())
	c := d.connect(0, "strict")
	c.must("STORE item old")
	old := d.group.Primary()
	old.SetReplicationBlocked(true)
	old.Demote()
	before := len(d.group.Executions())
	done := make(chan result, 1)
	go func() {
		res, err := c.try("FETCH item")
		if err == nil {
			done <- res
		}
	}()
	select {
	case res := <-done:
		for _, run := range d.group.Executions()[before:] {
			require.NotEqual(t, old.ID, run.Member, "the read ran on the deposed member")
		}
		require.NotEmpty(t, res.code+strings.Join(res.rows, ""))
	case <-time.After(time.Second):
		// The read waits for a primary, which is also correct.
	}
}

// TestUnansweredWriteIsInDoubt: a write that was sent to a member and got no answer
// must not be retried.
func TestUnansweredWriteIsInDoubt(t *testing.T) {
	d := deploy(t, 1, options())
	d.platform.Configure(routes(300*time.Millisecond), timeout)
	c := d.connect(0, "strict")
	require.Eventually(t, func() bool { return c.must("STORE warm up").code == "" }, waitLimit, pollInterval)
	waitForTimeout(t, d, 300*time.Millisecond)
	d.group.Primary().DropAnswers(1)
	res := c.do("STORE item x")
	require.Equal(t, "INDOUBT", res.code)
	require.Equal(t, 1, d.group.CommitCount(res.id))
}

// waitForTimeout waits until a statement timeout is active.
func waitForTimeout(t *testing.T, d *deployment, want time.Duration) {
	t.Helper()
	require.Eventually(t, func() bool {
		r, found := d.hosts[0].Catalog().Route("strict")
		return found && r.StatementTimeout == want
	}, waitLimit, pollInterval)
}

// TestBusyRefusalIsRetriedOnAnotherMember: a busy refusal means that the statement
// has not run, so that even a write may be retried.
func TestBusyRefusalIsRetriedOnAnotherMember(t *testing.T) {
	d := deploy(t, 1, options())
	c := d.connect(0, "own")
	c.must("STORE item x")
	for _, m := range d.group.Members() {
		m.RefuseStatements(1)
	}
	require.Equal(t, []string{"x"}, c.must("FETCH item").rows)
	w := c.must("STORE item y")
	require.Equal(t, 1, d.group.CommitCount(w.id))
}

// TestIdleTransactionTimesOut: a transaction that exceeds the configured idle timeout
// is rolled back, and the caller gets an error.
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
	require.Zero(t, d.group.CommitCount(w.id))
}

// TestSessionsAreIsolatedOnPooledConnections runs sessions with their own session
// values and prepared statements over fewer connections and checks each answer.
func TestSessionsAreIsolatedOnPooledConnections(t *testing.T) {
	o := options()
	o.MaxConnections = 4
	d := deploy(t, 1, o)
	const sessions, rounds = 12, 15
	results := make(chan error, sessions)
	for i := range sessions {
		c := d.connect(0, []string{"strict", "own"}[i%2])
		go func() { results <- runSession(c, i, rounds) }()
	}
	for range sessions {
		require.NoError(t, <-results)
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

// TestReadWithLostAnswerIsRetriedElsewhere guards against a lost answer that uses up
// a read's whole timeout.
func TestReadWithLostAnswerIsRetriedElsewhere(t *testing.T) {
	d := deploy(t, 1, options())
	d.setLatencyTarget(200*time.Millisecond, timeout)
	c := d.connect(0, "own")
	c.must("STORE item x")
	for _, m := range d.group.Members() {
		if m != d.group.Primary() {
			m.DropAnswers(1)
		}
	}
	startedAt := time.Now()
	require.Equal(t, []string{"x"}, c.must("FETCH item").rows)
	require.Less(t, time.Since(startedAt), timeout/2, "the read was not retried before its timeout")
}
