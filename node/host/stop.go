package host

import (
	"context"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/membership"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
	"github.com/dotterelswitch/dotterelswitch/node/eventlog"
)

// announceTime is how long a stopping host goes on serving after it has said
// that it leaves, so that its peers send it no more work.
const announceTime = 500 * time.Millisecond

// Stop ends the host in order: it tells peers and platform that it leaves,
// closes callers as they become idle, hands its pools over, and stops. What
// still runs when the context ends is cut; it reports whether nothing was.
func (h *Host) Stop(ctx context.Context) bool {
	eventlog.Stopping.Info(h.log).Send()
	h.announce(ctx)
	clean := h.gateway.Drain(ctx)
	h.owner.Stop(ctx)
	if !clean || ctx.Err() != nil {
		eventlog.StopForced.Warn(h.log).Int("callers", h.gateway.Connections()).Send()
	}
	h.close()
	eventlog.Stopped.Info(h.log).Send()
	return clean
}

// announce tells every reachable host and the platform that this one leaves.
func (h *Host) announce(ctx context.Context) {
	var others []membership.Host
	h.fleet.update(func(r *membership.Roster, now time.Duration) {
		r.Leave(now)
		others = r.Reachable()
	})
	for _, x := range others {
		if x.ID != h.self.ID {
			go h.ping(ctx, x)
		}
	}
	leaving := h.self
	leaving.State = membership.Leaving
	bounded, cancel := context.WithTimeout(ctx, announceTime)
	defer cancel()
	_ = h.platform.Register(bounded, leaving)
	_ = h.platform.Deregister(bounded, h.self.ID)
	clock.Sleep(ctx, announceTime)
}

// Kill ends the host at once, as a crash does.
func (h *Host) Kill() { h.close() }

// closeTimeout bounds the end of the gateway's event loops.
const closeTimeout = time.Second

func (h *Host) close() {
	h.cancel()
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	for _, s := range h.servers {
		_ = s.Close()
	}
	h.gossip.Close()
	_ = h.gateway.Stop(ctx)
	ended, cancelEnded := context.WithCancel(context.Background())
	cancelEnded()
	h.owner.Stop(ended)
	h.peers.Close()
	h.metrics.Close()
	h.wg.Wait()
}
