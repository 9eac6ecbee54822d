package host

import (
	"context"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/membership"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
	"github.com/dotterelswitch/dotterelswitch/node/eventlog"
)

// leaveGracePeriod is how long a stopping host continues to serve after it has
// announced that it leaves, until its peers stop sending it requests.
const leaveGracePeriod = 500 * time.Millisecond

// Stop shuts the host down gracefully: it announces to peers and platform that it
// leaves, closes callers' connections as they become idle, releases its pools, and
// stops. Work that is still running when ctx is done is aborted; Stop reports
// whether all callers' connections were drained before.
func (h *Host) Stop(ctx context.Context) bool {
	eventlog.Stopping.Info(h.log).Send()
	h.announceLeaving(ctx)
	clean := h.gateway.Drain(ctx)
	h.owner.Stop(ctx)
	if !clean || ctx.Err() != nil {
		eventlog.StopForced.Warn(h.log).Int("callers", h.gateway.Connections()).Send()
	}
	h.close()
	eventlog.Stopped.Info(h.log).Send()
	return clean
}

// announceLeaving notifies all reachable hosts and the platform that this host
// leaves, and waits for leaveGracePeriod.
func (h *Host) announceLeaving(ctx context.Context) {
	var reachable []membership.Host
	h.fleet.updateRoster(func(r *membership.Roster, now time.Duration) {
		r.Leave(now)
		reachable = r.Reachable()
	})
	for _, other := range reachable {
		if other.ID != h.self.ID {
			go h.probe(ctx, other)
		}
	}
	leaving := h.self
	leaving.State = membership.Leaving
	leaveCtx, cancel := context.WithTimeout(ctx, leaveGracePeriod)
	defer cancel()
	_ = h.platform.Register(leaveCtx, leaving)
	_ = h.platform.Deregister(leaveCtx, h.self.ID)
	clock.Sleep(ctx, leaveGracePeriod)
}

// Kill stops the host immediately, without draining, as a crash would.
func (h *Host) Kill() { h.close() }

// closeTimeout bounds stopping the gateway's event loops.
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
	expired, cancelExpired := context.WithCancel(context.Background())
	cancelExpired()
	h.owner.Stop(expired)
	h.peers.Close()
	h.metrics.Close()
	h.wg.Wait()
}
