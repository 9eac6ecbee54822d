package entry

import (
	"github.com/dotterelswitch/dotterelswitch/core/connpool"
	"github.com/dotterelswitch/dotterelswitch/core/statement"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
	"github.com/dotterelswitch/dotterelswitch/node/edge"
	"github.com/dotterelswitch/dotterelswitch/node/eventlog"
)

// Finished implements edge.Observer. It counts the statement and, if it failed or
// ran on a member, logs its outcome within the log budget.
func (h *Host) Finished(r edge.Record) {
	h.metrics.observe(r)
	h.reads.observe(r)
	event := eventlog.StatementServed
	if r.Outcome.Answer.Code != statement.OK {
		event = eventlog.StatementFailed
	} else if r.Outcome.Member == "" {
		return
	}
	suppressed, ok := h.logBudget.Allow(event, clock.Now())
	if !ok {
		return
	}
	o := r.Outcome
	event.Info(h.log).Str("request", eventlog.Text(r.Statement.ID)).Str("database", r.Database).Str("team", r.Team).Str("key", r.Key).
		Stringer("kind", r.Statement.Kind).Stringer("consistency", r.Route.Consistency).Uint64("version", r.Version).
		Stringer("code", o.Answer.Code).Str("detail", eventlog.Text(o.Answer.Detail)).
		Str("upstream", o.Member).Str("gate", o.Gate).Bool("primary", o.Primary).Int("attempts", o.Attempts).Int("runs", o.Runs).
		Stringer("failed_read", o.FailedRead).
		Stringer("floor", o.Floor).Stringer("position", o.Answer.Position).
		Dur("held_ms", o.ReplicaWait).Dur("waited_ms", o.Waited).Dur("took_ms", r.Elapsed).Str("cause", eventlog.Text(o.Cause)).Int("left_out", suppressed).Send()
}

// observeDropped counts a waiting statement that a member's queue has refused, and logs a
// displaced one within the log budget.
func (h *Host) observeDropped(member string, d connpool.Dropped) {
	h.metrics.dropped(d)
	if !d.Displaced {
		return
	}
	suppressed, ok := h.logBudget.Allow(eventlog.StatementDisplaced, clock.Now())
	if !ok {
		return
	}
	eventlog.StatementDisplaced.Info(h.log).Str("upstream", member).Str("team", d.Waiter.Team).Int("priority", d.Waiter.Priority).
		Str("by_team", d.By.Team).Int("by_priority", d.By.Priority).Int("left_out", suppressed).Send()
}
