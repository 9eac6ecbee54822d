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
	// meanRequestsPerEntry is the mean number of requests that a caller sends
	// before it moves to another host.
	meanRequestsPerEntry = 25
	// subjectCount is the number of subjects per service.
	subjectCount = 400
	// transactionShare is the fraction of writes in an explicit transaction.
	transactionShare = 0.15
	// idempotentShare is the fraction of the other writes with an idempotency key.
	idempotentShare = 0.5
	// resendTimeout limits the retries of a write with an idempotency key.
	resendTimeout = 20 * time.Second
	retryDelay    = 100 * time.Millisecond
)

// caller is one client session that moves between entry addresses.
type caller struct {
	run        *run
	id         int
	rng        *rand.Rand
	service    string
	team       string
	conn       *pgx.Conn
	token      string
	entryIndex int
	sequence   int
	ownWrites  map[string][]string
}

// sendRequests sends requests until the context ends.
func (c *caller) sendRequests(ctx context.Context) {
	defer c.disconnect()
	for ctx.Err() == nil {
		if c.conn == nil && !c.connect(ctx) {
			sleep(ctx, retryDelay)
			continue
		}
		if c.rng.Float64() < c.run.spec.WriteShare {
			c.write(ctx)
		} else {
			c.read(ctx)
		}
		if c.rng.IntN(meanRequestsPerEntry) == 0 {
			c.disconnect()
			c.entryIndex++
		}
		sleep(ctx, time.Duration(c.rng.ExpFloat64()*float64(c.run.spec.ThinkTime)))
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// connect opens a session on the current entry address with the last session
// token.
func (c *caller) connect(ctx context.Context) bool {
	entry := c.run.entries[c.entryIndex%len(c.run.entries)]
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
		c.entryIndex++
		return false
	}
	c.conn = conn
	return true
}

func (c *caller) disconnect() {
	if c.conn == nil {
		return
	}
	c.saveToken()
	ctx, cancel := context.WithTimeout(context.Background(), connectTimeout)
	defer cancel()
	_ = c.conn.Close(ctx)
	c.conn = nil
}

func (c *caller) saveToken() {
	if t := c.conn.PgConn().ParameterStatus(tokenParameter); t != "" {
		c.token = t
	}
}

// handleError drops the connection unless the server reported the error on a
// connection that stays open.
func (c *caller) handleError(err error) {
	c.saveToken()
	if c.conn.IsClosed() || !isServerError(err) {
		_ = c.conn.Close(context.Background())
		c.conn = nil
		c.entryIndex++
	}
}

func isServerError(err error) bool {
	var pgErr *pgconn.PgError
	return errors.As(err, &pgErr)
}

// read queries a random subject and checks the answer.
func (c *caller) read(ctx context.Context) {
	class := c.pickClass()
	subject := c.subject()
	r := Read{
		Service: c.service, Subject: subject, Started: time.Now(), Staleness: class.Staleness,
		OwnWrites: append([]string(nil), c.ownWrites[subject]...),
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
	c.saveToken()
	c.run.readTime.record(time.Since(r.Started))
	c.run.checker.CheckRead(r)
}

func (c *caller) readFailed(err error) {
	if isServerError(err) {
		c.run.checker.RecordRefusedRead()
		c.run.countError(err)
	} else {
		c.run.checker.RecordUnanswered()
	}
	c.handleError(err)
}

func (c *caller) pickClass() ClassShare {
	pick := c.rng.Float64()
	for _, class := range c.run.spec.Classes {
		if pick < class.Share {
			return class
		}
		pick -= class.Share
	}
	return c.run.spec.Classes[0]
}

func (c *caller) subject() string { return fmt.Sprintf("s%03d", c.rng.IntN(subjectCount)) }

// write stores a unique value and records the outcome.
func (c *caller) write(ctx context.Context) {
	c.sequence++
	subject := c.subject()
	value := fmt.Sprintf("%s|%s|%d|%d", c.service, subject, c.id, c.sequence)
	c.run.checker.RecordAttempt(c.service, subject, value)
	started := time.Now()
	var outcome WriteOutcome
	switch {
	case c.rng.Float64() < transactionShare:
		outcome = c.writeInTransaction(ctx, subject, value)
	case c.rng.Float64() < idempotentShare:
		outcome = c.writeIdempotent(ctx, subject, value)
	default:
		outcome = c.writeOnce(ctx, "", subject, value)
	}
	ended := time.Now()
	c.run.checker.RecordOutcome(value, outcome, ended)
	if outcome == OutcomeAcked {
		c.ownWrites[subject] = append(c.ownWrites[subject], value)
		c.run.writeTime.record(ended.Sub(started))
		c.run.failoverGap.recordAck(c.service, started, ended)
	}
}

const insertSQL = "INSERT INTO readings (subject, value) VALUES ($1, $2)"

// writeOnce sends the write without retries.
func (c *caller) writeOnce(ctx context.Context, hint, subject, value string) WriteOutcome {
	_, err := c.conn.Exec(context.WithoutCancel(ctx), hint+insertSQL, subject, value)
	return c.writeOutcome(err)
}

// writeIdempotent sends the write with an idempotency key until its outcome is
// known or resendTimeout has passed, on any host.
func (c *caller) writeIdempotent(ctx context.Context, subject, value string) WriteOutcome {
	key, err := uuid.NewV7()
	if err != nil {
		return OutcomeNotRun
	}
	hint := fmt.Sprintf("/* dotterelswitch: key=%s */ ", key)
	deadline := time.Now().Add(resendTimeout)
	mayHaveRun := false
	for {
		outcome := OutcomeNotRun
		if c.conn != nil || c.connect(context.WithoutCancel(ctx)) {
			outcome = c.writeOnce(ctx, hint, subject, value)
		}
		mayHaveRun = mayHaveRun || outcome == OutcomeUnknown
		if outcome == OutcomeAcked || (outcome == OutcomeNotRun && !mayHaveRun) {
			return outcome
		}
		if time.Now().After(deadline) {
			return OutcomeUnknown
		}
		time.Sleep(retryDelay)
	}
}

func (c *caller) writeInTransaction(ctx context.Context, subject, value string) WriteOutcome {
	ctx = context.WithoutCancel(ctx)
	tx, err := c.conn.Begin(ctx)
	if err != nil {
		c.writeOutcome(err)
		return OutcomeNotRun
	}
	if _, err := tx.Exec(ctx, insertSQL, subject, value); err != nil {
		_ = tx.Rollback(ctx)
		if c.writeOutcome(err) == OutcomeUnknown {
			// Nothing is stored without a COMMIT.
			return OutcomeNotRun
		}
		return OutcomeNotRun
	}
	return c.writeOutcome(tx.Commit(ctx))
}

// writeOutcome derives the outcome of a write from its error.
func (c *caller) writeOutcome(err error) WriteOutcome {
	if err == nil {
		c.saveToken()
		return OutcomeAcked
	}
	outcome := OutcomeUnknown
	var pgErr *pgconn.PgError
	switch {
	case errors.As(err, &pgErr):
		c.run.countError(err)
		if strings.Contains(pgErr.Hint, "ran=no") {
			outcome = OutcomeNotRun
		}
	case pgconn.SafeToRetry(err):
		outcome = OutcomeNotRun
		c.run.checker.RecordUnanswered()
	default:
		c.run.checker.RecordUnanswered()
	}
	if c.conn != nil {
		c.handleError(err)
	}
	return outcome
}
