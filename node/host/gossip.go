package host

import (
	"context"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/membership"
	"github.com/dotterelswitch/dotterelswitch/node/eventlog"
	"github.com/dotterelswitch/dotterelswitch/node/peer"
	"github.com/dotterelswitch/dotterelswitch/node/upstream"
)

// pingTimeout bounds one exchange between hosts.
const pingTimeout = 400 * time.Millisecond

// gossip probes other hosts until the context ends.
func (h *Host) gossip(ctx context.Context) {
	tick := time.NewTicker(h.timing.ProbePeriod)
	defer tick.Stop()
	for {
		var target membership.Host
		found := false
		h.fleet.update(func(r *membership.Roster, now time.Duration) {
			r.Tick(now)
			target, found = r.NextProbe()
		})
		if found {
			go h.ping(ctx, target)
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// ping exchanges membership with one host.
func (h *Host) ping(ctx context.Context, target membership.Host) {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	answer, err := h.peers.Ping(ctx, target.Peer, h.outgoing(target))
	if err != nil {
		h.noteFailure(target, err)
		return
	}
	h.fleet.update(func(r *membership.Roster, now time.Duration) {
		r.Heard(answer.Self, now)
		for _, x := range answer.Rumours {
			r.Merge(x, now)
		}
	})
	if answer.ConfigVersion > h.fleet.Config().Version {
		h.pullConfig(ctx, target)
	}
}

// outgoing returns what this host tells another. It says what it believes of
// the other, so that the other can refute it.
func (h *Host) outgoing(target membership.Host) peer.Ping {
	p := peer.Ping{ConfigVersion: h.fleet.Config().Version}
	h.fleet.update(func(r *membership.Roster, _ time.Duration) {
		p.Self = r.Self()
		p.Rumours = r.TakeRumours()
		if believed, found := r.Host(target.ID); found && believed.State != membership.Alive {
			p.Rumours = append(p.Rumours, believed)
		}
	})
	return p
}

func (h *Host) noteFailure(target membership.Host, err error) {
	h.fleet.update(func(r *membership.Roster, now time.Duration) {
		if upstream.Refused(err) {
			r.ProbeRefused(target.ID, target.Incarnation, now)
		} else {
			r.ProbeFailed(target.ID, target.Incarnation, now)
		}
	})
	eventlog.PeerCallFailed.Debug(h.log).Err(err).Str("host", target.ID).Send()
}

// Ping implements peer.Handler.
func (h *Host) Ping(p peer.Ping) peer.Ping {
	h.fleet.update(func(r *membership.Roster, now time.Duration) {
		r.Heard(p.Self, now)
		for _, x := range p.Rumours {
			r.Merge(x, now)
		}
	})
	if p.ConfigVersion > h.fleet.Config().Version {
		go func() {
			ctx, cancel := context.WithTimeout(h.ctx, pingTimeout)
			defer cancel()
			h.pullConfig(ctx, p.Self)
		}()
	}
	return h.outgoing(p.Self)
}
