package entry

import (
	"context"
	"sync"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/shutdown"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
	"github.com/dotterelswitch/dotterelswitch/node/eventlog"
	"github.com/dotterelswitch/dotterelswitch/node/replicaset"
)

// Stop shuts the host down gracefully within its grace period. It reports whether
// all sessions ended before they had to be closed.
func (h *Host) Stop() bool {
	plan := shutdown.Plan{Start: clock.Now(), Grace: h.settings.GracePeriod}
	h.stopPlan.Store(&plan)
	eventlog.Stopping.Info(h.log).Dur("grace_ms", h.settings.GracePeriod).Int("callers", h.gateway.Sessions()).Send()
	h.limiter.Leave()
	h.gateway.BeginStop(plan)
	h.deregister()
	ctx, cancel := context.WithDeadline(context.Background(), clock.Deadline(plan.End()))
	defer cancel()
	timer := time.AfterFunc(plan.StartOf(shutdown.Refusing)-clock.Now(), h.endTransactions)
	defer timer.Stop()
	clean := h.gateway.Drain(ctx)
	if !clean {
		eventlog.StopForced.Warn(h.log).Int("callers", h.gateway.Sessions()).Send()
	}
	h.awaitRemoteWork(ctx)
	h.cancel()
	h.shutDownServers()
	h.close()
	eventlog.Stopped.Info(h.log).Send()
	return clean
}

// deregister removes the host from the registry, so that it no longer acts as a
// gate. Running jobs of other hosts continue.
func (h *Host) deregister() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if err := h.registry.Deregister(ctx); err != nil {
		eventlog.PlatformUnreachable.Info(h.log).Err(err).Str("call", "leave").Send()
	}
}

// awaitRemoteWork waits until the jobs and transactions of other hosts have ended.
func (h *Host) awaitRemoteWork(ctx context.Context) {
	for ctx.Err() == nil && h.hasRemoteWork() {
		time.Sleep(remoteWorkPollInterval)
	}
}

// remoteWorkPollInterval is how often a stopping host checks for remaining work of
// other hosts.
const remoteWorkPollInterval = 20 * time.Millisecond

func (h *Host) hasRemoteWork() bool {
	if h.remoteJobCount.Load() > 0 {
		return true
	}
	for _, s := range h.allSets() {
		if s.OpenTransactions() > 0 {
			return true
		}
	}
	return false
}

// errStopping refuses to keep a further transaction of another host.
var errStopping = &replicaset.RefusedError{Reason: "the host is stopping"}

// endsTransactions reports whether this host keeps no further transaction because it stops.
func (h *Host) endsTransactions() bool {
	plan := h.stopPlan.Load()
	return plan != nil && plan.PhaseAt(clock.Now()) >= shutdown.Refusing
}

// endTransactions rolls back the transactions on connections of this host, also those of
// other hosts' callers.
func (h *Host) endTransactions() {
	for _, s := range h.allSets() {
		s.RollbackAll(errStopping.Reason)
	}
}

// closeTimeout bounds the shutdown of each component.
const closeTimeout = 300 * time.Millisecond

// shutDownServers stops the servers after the running responses have completed: a
// commit whose response is lost would be in doubt at the host that requested it.
func (h *Host) shutDownServers() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, s := range h.servers {
		wg.Go(func() {
			// Connections still open after the timeout are closed by close.
			_ = s.Shutdown(ctx)
		})
	}
	wg.Wait()
}

func (h *Host) close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	h.cancel()
	h.peers.Close()
	for _, s := range h.servers {
		// The process ends, so errors are irrelevant.
		_ = s.Close()
	}
	if err := h.gateway.Stop(ctx); err != nil {
		h.log.Debug().Err(err).Msg("gateway stop failed")
	}
}

// Kill stops the host immediately, to simulate a crash.
func (h *Host) Kill() {
	h.registry.AbandonLease()
	h.close()
}
