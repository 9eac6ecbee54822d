package watch

import (
	"context"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/group"
	"github.com/dotterelswitch/dotterelswitch/core/logpos"
	"github.com/dotterelswitch/dotterelswitch/node/eventlog"
	"github.com/dotterelswitch/dotterelswitch/node/upstream"
)

// perform starts the actions that a controller ordered.
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
			if w.cfg.Record != nil {
				go w.cfg.Record(w.cfg.Service, a.Term, a.Primary)
			}
		}
	}
}

// probe asks a member for its status unless a probe of it is outstanding.
func (w *Watcher) probe(ctx context.Context, member string) {
	w.mu.Lock()
	if w.busy[member] {
		w.mu.Unlock()
		return
	}
	w.busy[member] = true
	sent := w.Now()
	w.sentAt[member] = sent
	w.mu.Unlock()
	go w.runProbe(ctx, member, sent)
}

func (w *Watcher) runProbe(ctx context.Context, member string, sent time.Duration) {
	bounded, cancel := context.WithTimeout(ctx, probeLimit)
	late := time.AfterFunc(lateAfter, func() { w.failed(ctx, member, sent, false) })
	st, err := w.ask(bounded, member)
	late.Stop()
	cancel()
	if ctx.Err() != nil {
		return
	}
	w.mu.Lock()
	w.busy[member] = false
	w.mu.Unlock()
	if err != nil {
		w.failed(ctx, member, sent, upstream.RefusedOrReset(err))
		return
	}
	w.update(ctx, func(now time.Duration) []group.Action { return w.ctl.OnStatus(st, sent, now) })
	w.continueDemand(ctx, member, sent)
}

// ask gets a member's status: at once, or, when only confirmations are waited
// for, as soon as the primary has news of its replicas.
func (w *Watcher) ask(ctx context.Context, member string) (group.Status, error) {
	w.mu.Lock()
	known, answered := w.ctl.View().Status(member)
	patient := answered && known.Primary && w.demand[ForConfirmation] > 0 && w.demand[ForFreshness] == 0
	w.mu.Unlock()
	if patient {
		return w.cfg.Controls[member].Await(ctx, known.Change, awaitLimit)
	}
	return w.cfg.Controls[member].Status(ctx)
}

func (w *Watcher) failed(ctx context.Context, member string, sent time.Duration, refused bool) {
	w.update(ctx, func(now time.Duration) []group.Action {
		w.ctl.OnProbeFailed(member, sent, now, refused)
		return nil
	})
}

// continueDemand probes again while requests wait for news.
func (w *Watcher) continueDemand(ctx context.Context, member string, sent time.Duration) {
	if !w.demanded(member) {
		return
	}
	if rest := w.demandPace() - (w.Now() - sent); rest > 0 {
		time.Sleep(rest)
	}
	w.probe(ctx, member)
}

// demandPace returns the pause between probes that the present demand asks for.
func (w *Watcher) demandPace() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.demand[ForConfirmation] > 0 {
		return confirmPace
	}
	return freshPace
}

func (w *Watcher) claim(ctx context.Context, a group.Action) {
	w.order(ctx, a, func(ctx context.Context, c *upstream.Control) (group.Status, bool, error) {
		return c.Claim(ctx, a.Term, w.cfg.Claimant)
	}, w.ctl.OnClaimReply)
}

func (w *Watcher) promote(ctx context.Context, a group.Action) {
	w.order(ctx, a, func(ctx context.Context, c *upstream.Control) (group.Status, bool, error) {
		return c.Promote(ctx, a.Term, w.cfg.Claimant)
	}, w.ctl.OnPromoteReply)
}

func (w *Watcher) follow(ctx context.Context, a group.Action) {
	ignore := func(_ logpos.Term, _ bool, st group.Status, sent, now time.Duration) []group.Action {
		w.ctl.View().Observe(st, sent)
		return nil
	}
	w.order(ctx, a, func(ctx context.Context, c *upstream.Control) (group.Status, bool, error) {
		return c.Follow(ctx, a.Term, a.Primary)
	}, ignore)
}

// order sends one command to a member and hands the answer to the controller.
// A lost answer is not repeated: the controller's deadline covers it.
func (w *Watcher) order(
	ctx context.Context, a group.Action,
	send func(context.Context, *upstream.Control) (group.Status, bool, error),
	reply func(logpos.Term, bool, group.Status, time.Duration, time.Duration) []group.Action,
) {
	bounded, cancel := context.WithTimeout(ctx, w.cfg.Timing.ReplyTimeout)
	defer cancel()
	sent := w.Now()
	st, done, err := send(bounded, w.cfg.Controls[a.Member])
	if err != nil {
		eventlog.OrderFailed.Warn(w.cfg.Log).Err(err).
			Str("service", w.cfg.Service).Str("upstream", a.Member).Stringer("order", a.Kind).Send()
		return
	}
	w.update(ctx, func(now time.Duration) []group.Action {
		return reply(a.Term, done, st, sent, now)
	})
}
