package host_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/conf"
	"github.com/dotterelswitch/dotterelswitch/standin/pgproxy"
)

// TestRepeatedAnswersReachNoOtherCaller guards against rows and command tags of an earlier
// statement when a member sends answers a second time, up to 20 ms late.
func TestRepeatedAnswersReachNoOtherCaller(t *testing.T) {
	r := runDisturbed(t, pgproxy.Fault{Repeat: 0.05, MaxDelay: 20 * time.Millisecond})
	require.Positive(t, r.repeated())
}

// TestAnswersRepeatedAtOnceReachNoOtherCaller guards against the same with repetitions that
// follow the answer immediately.
func TestAnswersRepeatedAtOnceReachNoOtherCaller(t *testing.T) {
	r := runDisturbed(t, pgproxy.Fault{Repeat: 0.05})
	require.Positive(t, r.repeated())
}

// TestAsynchronousMessagesDisturbNoAnswer guards against notices, parameters and
// notifications being taken for answers, also between statements and in pieces.
func TestAsynchronousMessagesDisturbNoAnswer(t *testing.T) {
	r := runDisturbed(t, pgproxy.Fault{Async: 0.3, MaxDelay: 5 * time.Millisecond, ChunkBytes: 3})
	require.Empty(t, first(r.failed), "%d statements failed", len(r.failed))
}

// disturbedRun is a deployment whose members are behind proxies that disturb their answers,
// with concurrent callers that check what they get.
type disturbedRun struct {
	*deployment
	proxies []*pgproxy.Proxy

	mu     sync.Mutex
	right  int
	wrong  []string
	failed []string
}

const (
	disturbedCallers  = 10
	disturbedDuration = 3 * time.Second
	// disturbedPatience is how long a caller waits for an answer.
	disturbedPatience = 10 * time.Second
)

func runDisturbed(t *testing.T, f pgproxy.Fault) *disturbedRun {
	t.Helper()
	r := &disturbedRun{}
	r.deployment = deployItems(t, 2, nil, func(items *conf.Items) {
		for i := range items.Services[0].Upstreams {
			u := &items.Services[0].Upstreams[i]
			p, err := pgproxy.New(u.Address, uint64(i+1))
			require.NoError(t, err)
			t.Cleanup(p.Close)
			r.proxies = append(r.proxies, p)
			u.Address = p.Address()
		}
	})
	defer r.kill()
	for _, p := range r.proxies {
		p.SetFault(f)
	}
	var wg sync.WaitGroup
	until := time.Now().Add(disturbedDuration)
	for n := range disturbedCallers {
		wg.Go(func() {
			c := &disturbedCaller{run: r, n: n, random: rand.New(rand.NewPCG(uint64(n), 69)), maybe: map[string]bool{}}
			c.work(until)
		})
	}
	done := make(chan struct{})
	go func() { wg.Wait(); close(done) }()
	select {
	case <-done:
	case <-time.After(disturbedDuration + 2*disturbedPatience):
		t.Error("callers still wait for answers")
		r.kill()
		<-done
	}
	for _, p := range r.proxies {
		p.SetFault(pgproxy.Fault{})
	}
	t.Logf("%d right answers, %d wrong, %d failed statements, %d answers repeated", r.right, len(r.wrong), len(r.failed), r.repeated())
	require.Empty(t, first(r.wrong), "%d wrong answers", len(r.wrong))
	require.Greater(t, r.right, 20*len(r.failed), "callers are not served: %q", first(r.failed))
	return r
}

func (r *disturbedRun) repeated() int {
	n := 0
	for _, p := range r.proxies {
		n += p.Repeated()
	}
	return n
}

func first(list []string) []string { return list[:min(len(list), 5)] }

// disturbedCaller writes rows of its own subject and reads them again. Only its own goroutine
// uses it.
type disturbedCaller struct {
	run    *disturbedRun
	n      int
	random *rand.Rand
	conn   *pgx.Conn
	serial int
	// rows are the values that must be read; maybe holds those whose write has no known
	// outcome.
	rows  []string
	maybe map[string]bool
	token string
	// ctx bounds the current operation.
	ctx    context.Context
	cancel context.CancelFunc
}

func (c *disturbedCaller) work(until time.Time) {
	for time.Now().Before(until) {
		c.ctx, c.cancel = context.WithTimeout(context.Background(), disturbedPatience)
		if c.conn == nil || c.conn.IsClosed() {
			c.conn = c.run.connect(c.n%2, map[string]string{"dotterelswitch.token": c.token})
		}
		switch c.random.IntN(4) {
		case 0:
			c.write()
		case 1:
			c.transaction()
		default:
			c.read()
		}
		if token := c.conn.PgConn().ParameterStatus("dotterelswitch.token"); token != "" {
			c.token = token
		}
		c.cancel()
	}
}

func (c *disturbedCaller) subject() string { return fmt.Sprintf("caller-%d", c.n) }

func (c *disturbedCaller) nextValue() string {
	c.serial++
	return fmt.Sprintf("%d/%d", c.n, c.serial)
}

func (c *disturbedCaller) insert(value string) bool {
	tag, err := c.conn.Exec(c.ctx, insertReading, c.subject(), value)
	if c.failed(err) {
		return false
	}
	if tag.String() != "INSERT 0 1" {
		c.wrong("INSERT got the tag %q", tag)
	}
	return true
}

func (c *disturbedCaller) write() {
	value := c.nextValue()
	if !c.insert(value) {
		c.maybe[value] = true
		return
	}
	c.rows = append(c.rows, value)
	c.right()
}

// transaction writes a row and sees it before it commits or rolls back.
func (c *disturbedCaller) transaction() {
	tx, err := c.conn.Begin(c.ctx)
	if c.failed(err) {
		return
	}
	if c.conn.PgConn().TxStatus() != 'T' {
		c.wrong("BEGIN ended in %q", c.conn.PgConn().TxStatus())
	}
	value := c.nextValue()
	if !c.insert(value) || !c.check(append(slices.Clone(c.rows), value)) {
		_ = tx.Rollback(c.ctx)
		return
	}
	if c.random.IntN(2) == 0 {
		c.failed(tx.Rollback(c.ctx))
		c.right()
		return
	}
	if c.failed(tx.Commit(c.ctx)) {
		c.maybe[value] = true
		return
	}
	c.rows = append(c.rows, value)
	c.right()
}

func (c *disturbedCaller) read() { c.check(c.rows) }

// check reads the caller's rows, by either protocol, and reports whether it got an answer.
func (c *disturbedCaller) check(want []string) bool {
	sql, args := "SELECT value FROM readings WHERE subject = $1", []any{c.subject()}
	if c.random.IntN(2) == 0 {
		sql, args = "SELECT value FROM readings WHERE subject = '"+c.subject()+"'", []any{pgx.QueryExecModeSimpleProtocol}
	}
	rows, err := c.conn.Query(c.ctx, sql, args...)
	if c.failed(err) {
		return false
	}
	got, err := pgx.CollectRows(rows, pgx.RowTo[string])
	if c.failed(err) {
		return false
	}
	if tag := rows.CommandTag().String(); tag != fmt.Sprintf("SELECT %d", len(got)) {
		c.wrong("SELECT got the tag %q with %d rows", tag, len(got))
	}
	got = slices.DeleteFunc(got, func(v string) bool { return c.maybe[v] })
	if !slices.Equal(slices.Sorted(slices.Values(got)), slices.Sorted(slices.Values(want))) {
		c.wrong("%s read %q instead of %q", c.subject(), got, want)
	}
	c.right()
	return true
}

// close does not wait for the host to close its side.
func (c *disturbedCaller) close() {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = c.conn.Close(ctx)
}

func (c *disturbedCaller) right() {
	c.run.mu.Lock()
	defer c.run.mu.Unlock()
	c.run.right++
}

// failed records an error. An error that no refusal of the proxy explains is a wrong answer.
func (c *disturbedCaller) failed(err error) bool {
	if err == nil {
		return false
	}
	var pgErr *pgconn.PgError
	if !errors.As(err, &pgErr) || !strings.HasPrefix(pgErr.Hint, "outcome=") {
		c.wrong("%v", err)
		c.close()
		return true
	}
	c.run.mu.Lock()
	defer c.run.mu.Unlock()
	c.run.failed = append(c.run.failed, pgErr.Message)
	return true
}

func (c *disturbedCaller) wrong(format string, args ...any) {
	c.run.mu.Lock()
	defer c.run.mu.Unlock()
	c.run.wrong = append(c.run.wrong, fmt.Sprintf(format, args...))
}
