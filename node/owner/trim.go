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

// trimDue starts to delete the ledger's rows that are past their age, if the
// member is primary and the interval has passed. It does not wait, because its
// caller watches over the member's lock. Rows are kept longer than keys are
// accepted, so no key that is still accepted loses its row.
func (h *holding) trimDue(now time.Time) {
	if now.Sub(h.trimmed) < trimInterval || !h.serving() || !h.isPrimary() {
		return
	}
	h.trimmed = now
	h.owner.wg.Go(func() {
		ctx, cancel := context.WithTimeout(h.ctx, trimTimeout)
		defer cancel()
		if err := h.trim(ctx, now); err != nil {
			eventlog.LedgerNotTrimmed.Warn(h.owner.cfg.Log).Err(err).Str("upstream", h.spec.Name).Send()
		}
	})
}

// trim takes a slot like any other request.
func (h *holding) trim(ctx context.Context, now time.Time) error {
	if refusal := h.pool.enter(ctx, trimTeam, 1, now.Add(trimTimeout)); refusal != nil {
		return refusal
	}
	started := time.Now()
	defer func() { h.pool.leave(time.Since(started)) }()
	conn, refusal := h.pool.take(ctx)
	if refusal != nil {
		return refusal
	}
	defer h.pool.put(conn)
	sql := "DELETE FROM dotterelswitch_ledger WHERE created < " + upstream.Literal(ledger.TrimCutoff(now))
	frames, err := (&pgproto3.Query{String: sql}).Encode(nil)
	if err != nil {
		return err
	}
	_, err = conn.Run(ctx, frames)
	return err
}

// trimTeam is the name under which trims queue; callers cannot have it.
const trimTeam = "(ledger)"
