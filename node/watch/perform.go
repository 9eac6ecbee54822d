package watch

import (
	"context"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/group"
	"github.com/dotterelswitch/dotterelswitch/core/logpos"
	"github.com/dotterelswitch/dotterelswitch/node/eventlog"
	"github.com/dotterelswitch/dotterelswitch/node/upstream"
)

// perform starts the actions returned by the controller.
func (w *Watcher) perform(ctx context.Context, actions []group.Action) {
	for _, a := range actions {
		switch a.Kind {
		case group.Probe:
			w.probe(ctx, a.Member)
		case group.Claim:
			eventlog.TermClaimed.Info(w.cfg.Log).
				Str("service", w.cfg.Service).Str("upstream", a.Member).Uint64("term", uint64(a.Term)).Send()
			go w.claim(ctx, a)
		case group.Promote:
			go w.promote(ctx, a)
		case group.Follow:
			go w.follow(ctx, a)
		case group.Record:
			eventlog.Promoted.Info(w.cfg.Log).
				Str("service", w.cfg.Service).Str("upstream", a.Primary).Uint64("term", uint64(a.Term)).Send()
			if w.cfg.OnPromoted != nil {
				go w.cfg.OnPromoted(w.cfg.Service, a.Term, a.Primary)
			}
		}
	}
}

// probe requests a member's status unless a probe of it is in flight.
func (w *Watcher) probe(ctx context.Context, member string) {
	w.mu.Lock()
	if w.probing[member] {
		w.mu.Unlock()
		return
	}
	w.probing[member] = true
	sent := w.Now()
	w.probeSentAt[member] = sent
	w.mu.Unlock()
	go w.runProbe(ctx, member, sent)
}

func (w *Watcher) runProbe(ctx context.Context, member string, sent time.Duration) {
	probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	slowTimer := time.AfterFunc(slowProbeTimeout, func() { w.recordProbeFailure(ctx, member, sent, false) })
	st, err := w.fetchStatus(probeCtx, member)
	slowTimer.Stop()
	cancel()
	if ctx.Err() != nil {
		return
	}
	w.mu.Lock()
	w.probing[member] = false
	w.mu.Unlock()
	if err != nil {
		w.recordProbeFailure(ctx, member, sent, upstream.RefusedOrReset(err))
		return
	}
	w.update(ctx, func(now time.Duration) []group.Action { return w.ctl.OnStatus(st, sent, now) })
	w.reprobe(ctx, member, sent)
}

// fetchStatus returns a member's status. If requests wait for commits only, it
// long-polls the primary until the progress of its replicas changes.
func (w *Watcher) fetchStatus(ctx context.Context, member string) (group.Status, error) {
	w.mu.Lock()
	lastStatus, answered := w.ctl.View().Status(member)
	longPoll := answered && lastStatus.Primary && w.demand[ForCommit] > 0 && w.demand[ForFreshness] == 0
	w.mu.Unlock()
	if longPoll {
		return w.cfg.Controls[member].Await(ctx, lastStatus.Change, awaitTimeout)
	}
	return w.cfg.Controls[member].Status(ctx)
}

func (w *Watcher) recordProbeFailure(ctx context.Context, member string, sent time.Duration, refused bool) {
	w.update(ctx, func(now time.Duration) []group.Action {
		w.ctl.OnProbeFailed(member, sent, now, refused)
		return nil
	})
}

// reprobe probes a member again while requests wait for its status.
func (w *Watcher) reprobe(ctx context.Context, member string, sent time.Duration) {
	if !w.needsProbes(member) {
		return
	}
	if wait := w.reprobeInterval() - (w.Now() - sent); wait > 0 {
		time.Sleep(wait)
	}
	w.probe(ctx, member)
}

// reprobeInterval returns the minimum interval between probes for the current
// demand.
func (w *Watcher) reprobeInterval() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.demand[ForCommit] > 0 {
		return commitProbeInterval
	}
	return freshnessProbeInterval
}

func (w *Watcher) claim(ctx context.Context, a group.Action) {
	w.sendCommand(ctx, a, func(ctx context.Context, c *upstream.Control) (group.Status, bool, error) {
		return c.Claim(ctx, a.Term, w.cfg.Claimant)
	}, w.ctl.OnClaimReply)
}

func (w *Watcher) promote(ctx context.Context, a group.Action) {
	w.sendCommand(ctx, a, func(ctx context.Context, c *upstream.Control) (group.Status, bool, error) {
		return c.Promote(ctx, a.Term, w.cfg.Claimant)
	}, w.ctl.OnPromoteReply)
}

func (w *Watcher) follow(ctx context.Context, a group.Action) {
	observe := func(_ logpos.Term, _ bool, st group.Status, sent, now time.Duration) []group.Action {
		w.ctl.View().Observe(st, sent)
		return nil
	}
	w.sendCommand(ctx, a, func(ctx context.Context, c *upstream.Control) (group.Status, bool, error) {
		return c.Follow(ctx, a.Term, a.Primary)
	}, observe)
}

// sendCommand sends one command to a member and passes the answer to the
// controller. It does not retry: the controller has its own deadline for a
// missing answer.
func (w *Watcher) sendCommand(
	ctx context.Context, a group.Action,
	send func(context.Context, *upstream.Control) (group.Status, bool, error),
	onReply func(logpos.Term, bool, group.Status, time.Duration, time.Duration) []group.Action,
) {
	commandCtx, cancel := context.WithTimeout(ctx, w.cfg.Timing.ReplyTimeout)
	defer cancel()
	sent := w.Now()
	st, accepted, err := send(commandCtx, w.cfg.Controls[a.Member])
	if err != nil {
		eventlog.GroupCommandFailed.Warn(w.cfg.Log).Err(err).
			Str("service", w.cfg.Service).Str("upstream", a.Member).Stringer("order", a.Kind).Send()
		return
	}
	w.update(ctx, func(now time.Duration) []group.Action {
		return onReply(a.Term, accepted, st, sent, now)
	})
}
