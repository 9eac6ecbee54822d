package host

import (
	"context"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/membership"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
	"github.com/dotterelswitch/dotterelswitch/node/eventlog"
	"github.com/dotterelswitch/dotterelswitch/node/gossip"
)

const (
	// pingTimeout bounds one exchange between hosts.
	pingTimeout = 400 * time.Millisecond
	// fetchTimeout bounds the fetch of a configuration from a peer.
	fetchTimeout = 5 * time.Second
)

// probeHosts probes other hosts until the context ends.
func (h *Host) probeHosts(ctx context.Context) {
	for ctx.Err() == nil {
		var target membership.Host
		found := false
		h.fleet.update(func(r *membership.Roster, now time.Duration) {
			r.Tick(now)
			target, found = r.NextProbe()
		})
		if found {
			go h.ping(ctx, target)
		}
		clock.Sleep(ctx, h.timing.ProbePeriodFor(h.Known()))
	}
}

// ping exchanges membership with one host.
func (h *Host) ping(ctx context.Context, target membership.Host) {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	answer, err := h.gossip.Probe(ctx, target.Peer, h.outgoing(target))
	if h.ctx.Err() != nil {
		return
	}
	if err != nil {
		h.noteFailure(target, err)
		return
	}
	h.learn(answer)
}

// outgoing returns what this host tells another. It says what it believes of
// the other, so that the other can refute it.
func (h *Host) outgoing(target membership.Host) gossip.Message {
	m := gossip.Message{ConfigVersion: h.fleet.Config().Version}
	h.fleet.update(func(r *membership.Roster, _ time.Duration) {
		m.Self = r.Self()
		m.Rumours = r.TakeRumours()
		if believed, found := r.Host(target.ID); found && believed.State != membership.Alive {
			m.Rumours = append([]membership.Host{believed}, m.Rumours...)
		}
	})
	return m
}

// learn takes what another host told, and fetches its configuration if that is
// newer.
func (h *Host) learn(m gossip.Message) {
	h.fleet.update(func(r *membership.Roster, now time.Duration) {
		r.ConfirmAlive(m.Self, now)
		for _, x := range m.Rumours {
			r.Merge(x, now)
		}
	})
	if m.ConfigVersion > h.fleet.Config().Version {
		go func() {
			ctx, cancel := context.WithTimeout(h.ctx, fetchTimeout)
			defer cancel()
			h.pullConfig(ctx, m.Self)
		}()
	}
}

// answerProbe answers another host's probe.
func (h *Host) answerProbe(m gossip.Message) gossip.Message {
	h.learn(m)
	return h.outgoing(m.Self)
}

func (h *Host) noteFailure(target membership.Host, err error) {
	h.fleet.CallFailed(target, gossip.Refused(err))
	eventlog.PeerCallFailed.Debug(h.log).Err(err).Str("host", target.ID).Send()
}
