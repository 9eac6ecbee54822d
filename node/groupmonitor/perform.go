package groupmonitor

import (
	"context"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/group"
	"github.com/dotterelswitch/dotterelswitch/core/logpos"
	"github.com/dotterelswitch/dotterelswitch/node/eventlog"
	"github.com/dotterelswitch/dotterelswitch/node/upstream"
)

// perform starts the actions returned by the controller.
func (m *Monitor) perform(ctx context.Context, actions []group.Action) {
	for _, a := range actions {
		switch a.Kind {
		case group.Probe:
			m.probe(ctx, a.Member)
		case group.Claim:
			eventlog.TermClaimed.Info(m.cfg.Log).
				Str("service", m.cfg.Service).Str("upstream", a.Member).Uint64("term", uint64(a.Term)).Send()
			go m.requestTerm(ctx, a)
		case group.Promote:
			go m.promote(ctx, a)
		case group.Follow:
			go m.follow(ctx, a)
		case group.Record:
			eventlog.Promoted.Info(m.cfg.Log).
				Str("service", m.cfg.Service).Str("upstream", a.Primary).Uint64("term", uint64(a.Term)).Send()
			if m.cfg.OnPromoted != nil {
				go m.cfg.OnPromoted(m.cfg.Service, a.Term, a.Primary)
			}
		}
	}
}

// probe requests a member's status unless a probe of it is in flight.
func (m *Monitor) probe(ctx context.Context, member string) {
	m.mu.Lock()
	if m.probing[member] {
		m.mu.Unlock()
		return
	}
	m.probing[member] = true
	sent := m.Now()
	m.probeSentAt[member] = sent
	m.mu.Unlock()
	go m.runProbe(ctx, member, sent)
}

func (m *Monitor) runProbe(ctx context.Context, member string, sent time.Duration) {
	probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	slowTimer := time.AfterFunc(slowProbeTimeout, func() { m.recordProbeFailure(ctx, member, sent, false) })
	st, err := m.fetchStatus(probeCtx, member)
	slowTimer.Stop()
	cancel()
	if ctx.Err() != nil {
		return
	}
	m.mu.Lock()
	m.probing[member] = false
	m.mu.Unlock()
	if err != nil {
		m.recordProbeFailure(ctx, member, sent, upstream.RefusedOrReset(err))
		return
	}
	m.update(ctx, func(now time.Duration) []group.Action { return m.ctl.OnStatus(st, sent, now) })
	m.reprobe(ctx, member, sent)
}

// fetchStatus returns a member's status. If requests wait for commits only, it
// long-polls the primary until the progress of its replicas changes.
func (m *Monitor) fetchStatus(ctx context.Context, member string) (group.Status, error) {
	m.mu.Lock()
	lastStatus, answered := m.ctl.View().Status(member)
	longPoll := answered && lastStatus.Primary && m.demand[ForCommit] > 0 && m.demand[ForFreshness] == 0
	m.mu.Unlock()
	if longPoll {
		return m.cfg.Controls[member].WaitForChange(ctx, lastStatus.Change, longPollTimeout)
	}
	return m.cfg.Controls[member].Status(ctx)
}

func (m *Monitor) recordProbeFailure(ctx context.Context, member string, sent time.Duration, refused bool) {
	m.update(ctx, func(now time.Duration) []group.Action {
		m.ctl.OnProbeFailed(member, sent, now, refused)
		return nil
	})
}

// reprobe probes a member again while requests wait for its status.
func (m *Monitor) reprobe(ctx context.Context, member string, sent time.Duration) {
	if !m.needsProbes(member) {
		return
	}
	if wait := m.reprobeInterval() - (m.Now() - sent); wait > 0 {
		time.Sleep(wait)
	}
	m.probe(ctx, member)
}

// reprobeInterval returns the minimum interval between probes for the current
// demand.
func (m *Monitor) reprobeInterval() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.demand[ForCommit] > 0 {
		return commitProbeInterval
	}
	return freshnessProbeInterval
}

func (m *Monitor) requestTerm(ctx context.Context, a group.Action) {
	m.sendCommand(ctx, a, func(ctx context.Context, c *upstream.Control) (group.Status, bool, error) {
		return c.RequestTerm(ctx, a.Term, m.cfg.Candidate)
	}, m.ctl.OnClaimReply)
}

func (m *Monitor) promote(ctx context.Context, a group.Action) {
	m.sendCommand(ctx, a, func(ctx context.Context, c *upstream.Control) (group.Status, bool, error) {
		return c.Promote(ctx, a.Term, m.cfg.Candidate)
	}, m.ctl.OnPromoteReply)
}

func (m *Monitor) follow(ctx context.Context, a group.Action) {
	observe := func(_ logpos.Term, _ bool, st group.Status, sent, now time.Duration) []group.Action {
		m.ctl.View().Observe(st, sent)
		return nil
	}
	m.sendCommand(ctx, a, func(ctx context.Context, c *upstream.Control) (group.Status, bool, error) {
		return c.Follow(ctx, a.Term, a.Primary)
	}, observe)
}

// sendCommand sends one command to a member and passes the answer to the
// controller. It does not retry: the controller has its own deadline for a
// missing answer.
func (m *Monitor) sendCommand(
	ctx context.Context, a group.Action,
	send func(context.Context, *upstream.Control) (group.Status, bool, error),
	onReply func(logpos.Term, bool, group.Status, time.Duration, time.Duration) []group.Action,
) {
	commandCtx, cancel := context.WithTimeout(ctx, m.cfg.Timing.ReplyTimeout)
	defer cancel()
	sent := m.Now()
	st, accepted, err := send(commandCtx, m.cfg.Controls[a.Member])
	if err != nil {
		eventlog.GroupCommandFailed.Warn(m.cfg.Log).Err(err).
			Str("service", m.cfg.Service).Str("upstream", a.Member).Stringer("order", a.Kind).Send()
		return
	}
	m.update(ctx, func(now time.Duration) []group.Action {
		return onReply(a.Term, accepted, st, sent, now)
	})
}
