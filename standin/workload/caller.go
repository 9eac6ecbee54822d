package workload

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
)

const (
	tokenParameter = "dotterelswitch.token"
	connectTimeout = 3 * time.Second
	// roamEvery is the mean number of requests between moves to another host.
	roamEvery = 25
	// subjects is how many subjects the callers of a service share.
	subjects = 400
	// transactionShare and keyedShare are the parts of writes that run in an
	// explicit transaction and with an idempotency key.
	transactionShare = 0.15
	keyedShare       = 0.5
	// resendFor bounds how long a keyed write is sent again.
	resendFor = 20 * time.Second
	resendGap = 100 * time.Millisecond
)

// caller is one client session that roams between entry addresses.
type caller struct {
	run      *run
	id       int
	rng      *rand.Rand
	service  string
	team     string
	conn     *pgx.Conn
	token    string
	entry    int
	sequence int
	own      map[string][]string
}

// loop makes requests until the context ends.
func (c *caller) loop(ctx context.Context) {
	defer c.disconnect()
	for ctx.Err() == nil {
		if c.conn == nil && !c.connect(ctx) {
			pause(ctx, resendGap)
			continue
		}
		if c.rng.Float64() < c.run.spec.WriteShare {
			c.write(ctx)
		} else {
			c.read(ctx)
		}
		if c.rng.IntN(roamEvery) == 0 {
			c.disconnect()
			c.entry++
		}
		pause(ctx, time.Duration(c.rng.ExpFloat64()*float64(c.run.spec.Think)))
	}
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// connect opens a session on the next entry address, with the token so far.
func (c *caller) connect(ctx context.Context) bool {
	entry := c.run.entries[c.entry%len(c.run.entries)]
	cfg, err := pgx.ParseConfig(fmt.Sprintf("postgres://%s@%s/%s?sslmode=disable", c.team, entry.Address, c.service))
	if err != nil {
		return false
	}
	cfg.RuntimeParams[tokenParameter] = c.token
	if entry.Dial != nil {
		cfg.DialFunc = entry.Dial
	}
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	conn, err := pgx.ConnectConfig(ctx, cfg)
	if err != nil {
		c.entry++
		return false
	}
	c.conn = conn
	return true
}

func (c *caller) disconnect() {
	if c.conn == nil {
		return
	}
	c.keepToken()
	ctx, cancel := context.WithTimeout(context.Background(), connectTimeout)
	defer cancel()
	_ = c.conn.Close(ctx)
	c.conn = nil
}

func (c *caller) keepToken() {
	if t := c.conn.PgConn().ParameterStatus(tokenParameter); t != "" {
		c.token = t
	}
}

// broken drops the connection after an error that it does not survive.
func (c *caller) broken(err error) {
	c.keepToken()
	if c.conn.IsClosed() || !isServerError(err) {
		_ = c.conn.Close(context.Background())
		c.conn = nil
		c.entry++
	}
}

func isServerError(err error) bool {
	var pgErr *pgconn.PgError
	return errors.As(err, &pgErr)
}

// read looks a subject up and has the answer checked.
func (c *caller) read(ctx context.Context) {
	class := c.pickClass()
	subject := c.subject()
	r := Read{
		Service: c.service, Subject: subject, Started: time.Now(), Staleness: class.Staleness,
		Own: append([]string(nil), c.own[subject]...),
	}
	sql := fmt.Sprintf("/* dotterelswitch: class=%s */ SELECT value FROM readings WHERE subject = $1", class.Name)
	rows, err := c.conn.Query(context.WithoutCancel(ctx), sql, subject)
	if err == nil {
		r.Values, err = pgx.CollectRows(rows, pgx.RowTo[string])
	}
	if err != nil {
		c.readFailed(err)
		return
	}
	c.keepToken()
	c.run.readTime.record(time.Since(r.Started))
	c.run.checker.CheckRead(r)
}

func (c *caller) readFailed(err error) {
	if isServerError(err) {
		c.run.checker.RefusedRead()
		c.run.note(err)
	} else {
		c.run.checker.Cut()
	}
	c.broken(err)
}

func (c *caller) pickClass() ClassShare {
	x := c.rng.Float64()
	for _, cl := range c.run.spec.Classes {
		if x < cl.Share {
			return cl
		}
		x -= cl.Share
	}
	return c.run.spec.Classes[0]
}

func (c *caller) subject() string { return fmt.Sprintf("s%03d", c.rng.IntN(subjects)) }

// write stores one unique value.
func (c *caller) write(ctx context.Context) {
	c.sequence++
	subject := c.subject()
	value := fmt.Sprintf("%s|%s|%d|%d", c.service, subject, c.id, c.sequence)
	c.run.checker.Try(c.service, subject, value)
	started := time.Now()
	var fate Fate
	switch {
	case c.rng.Float64() < transactionShare:
		fate = c.writeInTransaction(ctx, subject, value)
	case c.rng.Float64() < keyedShare:
		fate = c.writeKeyed(ctx, subject, value)
	default:
		fate = c.writeOnce(ctx, "", subject, value)
	}
	ended := time.Now()
	c.run.checker.Settle(value, fate, ended)
	if fate == FateAcked {
		c.own[subject] = append(c.own[subject], value)
		c.run.writeTime.record(ended.Sub(started))
		c.run.gap.acked(c.service, started, ended)
	}
}

const insertSQL = "INSERT INTO readings (subject, value) VALUES ($1, $2)"

// writeOnce sends the write at most once.
func (c *caller) writeOnce(ctx context.Context, hint, subject, value string) Fate {
	_, err := c.conn.Exec(context.WithoutCancel(ctx), hint+insertSQL, subject, value)
	return c.fate(err)
}

// writeKeyed sends the write with an idempotency key until its outcome is
// known, on whatever host answers.
func (c *caller) writeKeyed(ctx context.Context, subject, value string) Fate {
	key, err := uuid.NewV7()
	if err != nil {
		return FateNotRun
	}
	hint := fmt.Sprintf("/* dotterelswitch: key=%s */ ", key)
	until := time.Now().Add(resendFor)
	unknown := false
	for {
		fate := FateNotRun
		if c.conn != nil || c.connect(context.WithoutCancel(ctx)) {
			fate = c.writeOnce(ctx, hint, subject, value)
		}
		unknown = unknown || fate == FateUnknown
		if fate == FateAcked || (fate == FateNotRun && !unknown) {
			return fate
		}
		if time.Now().After(until) {
			return FateUnknown
		}
		time.Sleep(resendGap)
	}
}

func (c *caller) writeInTransaction(ctx context.Context, subject, value string) Fate {
	ctx = context.WithoutCancel(ctx)
	tx, err := c.conn.Begin(ctx)
	if err != nil {
		c.fate(err)
		return FateNotRun
	}
	if _, err := tx.Exec(ctx, insertSQL, subject, value); err != nil {
		_ = tx.Rollback(ctx)
		if c.fate(err) == FateUnknown {
			// Without a COMMIT nothing can have been stored.
			return FateNotRun
		}
		return FateNotRun
	}
	return c.fate(tx.Commit(ctx))
}

// fate tells from an error what became of a write.
func (c *caller) fate(err error) Fate {
	if err == nil {
		c.keepToken()
		return FateAcked
	}
	fate := FateUnknown
	var pgErr *pgconn.PgError
	switch {
	case errors.As(err, &pgErr):
		c.run.note(err)
		if strings.Contains(pgErr.Hint, "ran=no") {
			fate = FateNotRun
		}
	case pgconn.SafeToRetry(err):
		fate = FateNotRun
		c.run.checker.Cut()
	default:
		c.run.checker.Cut()
	}
	if c.conn != nil {
		c.broken(err)
	}
	return fate
}
