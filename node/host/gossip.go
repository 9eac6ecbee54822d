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
	// probeTimeout bounds one probe and its answer.
	probeTimeout = 400 * time.Millisecond
	// fetchTimeout bounds fetching the configuration from a peer.
	fetchTimeout = 5 * time.Second
)

// probeHosts periodically probes one other host until ctx is done.
func (h *Host) probeHosts(ctx context.Context) {
	for ctx.Err() == nil {
		var target membership.Host
		found := false
		h.fleet.updateRoster(func(r *membership.Roster, now time.Duration) {
			r.Tick(now)
			target, found = r.NextProbe()
		})
		if found {
			go h.probe(ctx, target)
		}
		clock.Sleep(ctx, h.timing.ProbePeriodFor(h.KnownHosts()))
	}
}

// probe exchanges membership with one host.
func (h *Host) probe(ctx context.Context, target membership.Host) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	answer, err := h.gossip.Probe(ctx, target.Peer, h.buildMessage(target))
	if h.ctx.Err() != nil {
		return
	}
	if err != nil {
		h.recordProbeFailure(target, err)
		return
	}
	h.mergeMessage(answer)
}

// buildMessage returns the gossip message for a host. If this host does not consider
// that host alive, the message says so, and that host can refute it.
func (h *Host) buildMessage(target membership.Host) gossip.Message {
	m := gossip.Message{ConfigVersion: h.fleet.Config().Version}
	h.fleet.updateRoster(func(r *membership.Roster, _ time.Duration) {
		m.Self = r.Self()
		m.Rumours = r.TakeRumours()
		if record, found := r.Host(target.ID); found && record.State != membership.Alive {
			m.Rumours = append([]membership.Host{record}, m.Rumours...)
		}
	})
	return m
}

// mergeMessage merges a received message into the roster, and fetches the
// sender's configuration if it is newer.
func (h *Host) mergeMessage(m gossip.Message) {
	h.fleet.updateRoster(func(r *membership.Roster, now time.Duration) {
		r.ConfirmAlive(m.Self, now)
		for _, rumour := range m.Rumours {
			r.Merge(rumour, now)
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

// answerProbe handles a probe of another host. It is a gossip.Handler.
func (h *Host) answerProbe(m gossip.Message) gossip.Message {
	h.mergeMessage(m)
	return h.buildMessage(m.Self)
}

func (h *Host) recordProbeFailure(target membership.Host, err error) {
	h.fleet.CallFailed(target, gossip.IsConnRefused(err))
	eventlog.PeerCallFailed.Debug(h.log).Err(err).Str("host", target.ID).Send()
}
