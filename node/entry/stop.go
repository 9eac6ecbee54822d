package entry

import (
	"context"
	"sync"
	"time"

	"github.com/dotterelswitch/dotterelswitch/node/eventlog"
)

// The ends of the phases of a stop, as fractions of the grace period.
const (
	// noticeFraction ends the phase in which the host serves normally but fails
	// readiness checks, so that the platform stops sending new callers.
	noticeFraction = 0.4
	// abortFraction is when transactions that are idle are rolled back.
	abortFraction = 0.55
	// drainFraction is when the sessions that are left are closed.
	drainFraction = 0.85
)

// Stop shuts the host down gracefully within its grace period. It reports whether
// all sessions ended before they had to be closed.
func (h *Host) Stop() bool {
	startedAt := time.Now()
	eventlog.Stopping.Info(h.log).Dur("grace_ms", h.settings.GracePeriod).Int("callers", h.gateway.Sessions()).Send()
	h.stopping.Store(true)
	h.limiter.Leave()
	h.deregister()
	time.Sleep(h.graceFraction(noticeFraction))
	ctx, cancel := context.WithDeadline(context.Background(), startedAt.Add(h.graceFraction(drainFraction)))
	defer cancel()
	timer := time.AfterFunc(h.graceFraction(abortFraction-noticeFraction), func() {
		h.gateway.AbortTransactions("the host is stopping")
	})
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

func (h *Host) graceFraction(fraction float64) time.Duration {
	return time.Duration(fraction * float64(h.settings.GracePeriod))
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
