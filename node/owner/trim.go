package owner

import (
	"context"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/dotterelswitch/dotterelswitch/core/ledger"
	"github.com/dotterelswitch/dotterelswitch/node/eventlog"
	"github.com/dotterelswitch/dotterelswitch/node/upstream"
)

const (
	// trimInterval is how often a primary's ledger is trimmed.
	trimInterval = 10 * time.Minute
	// trimTimeout bounds one trim.
	trimTimeout = 30 * time.Second
)

// trimDue starts to delete expired ledger rows if the member is the primary and
// the interval has passed. It does not block, because its caller also monitors
// the member's lock. Rows are kept longer than keys are accepted, so an accepted
// key never loses its row.
func (c *poolClaim) trimDue(now time.Time) {
	if now.Sub(c.trimmedAt) < trimInterval || !c.serving() || !c.isPrimary() {
		return
	}
	c.trimmedAt = now
	c.owner.wg.Go(func() {
		ctx, cancel := context.WithTimeout(c.ctx, trimTimeout)
		defer cancel()
		if err := c.trim(ctx, now); err != nil {
			eventlog.LedgerNotTrimmed.Warn(c.owner.cfg.Log).Err(err).Str("upstream", c.spec.Name).Send()
		}
	})
}

// trim deletes the expired rows. It takes a slot like any other request.
func (c *poolClaim) trim(ctx context.Context, now time.Time) error {
	if refusal := c.pool.acquireSlot(ctx, trimTeam, 1, now.Add(trimTimeout)); refusal != nil {
		return refusal
	}
	started := time.Now()
	defer func() { c.pool.releaseSlot(time.Since(started)) }()
	conn, refusal := c.pool.acquireConn(ctx)
	if refusal != nil {
		return refusal
	}
	defer c.pool.releaseConn(conn)
	sql := "DELETE FROM dotterelswitch_ledger WHERE created < " + upstream.Literal(ledger.TrimCutoff(now))
	frames, err := (&pgproto3.Query{String: sql}).Encode(nil)
	if err != nil {
		return err
	}
	_, err = conn.Run(ctx, frames)
	return err
}

// trimTeam is the team of trims in the queue. Its name is not valid for a team of
// callers.
const trimTeam = "(ledger)"
