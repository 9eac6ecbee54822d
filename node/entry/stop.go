package entry

import (
	"context"
	"sync"
	"time"

	"github.com/dotterelswitch/dotterelswitch/node/eventlog"
)

// A stop divides the grace that the platform gives. The fractions are of the
// whole grace.
const (
	// noticeShare is how long the host serves on as before, until the platform
	// has asked twice and sends no new callers: two seconds of six.
	noticeFraction = 0.4
	// transactionShare is when open transactions that rest are ended.
	abortFraction = 0.55
	// lastShare is when the host ends even though callers are left.
	drainFraction = 0.85
)

// Stop ends the host in order within its grace. It reports whether no caller
// was cut.
func (h *Host) Stop() bool {
	began := time.Now()
	eventlog.Stopping.Info(h.log).Dur("grace_ms", h.settings.GracePeriod).Int("callers", h.gateway.Sessions()).Send()
	h.stopping.Store(true)
	h.deregister()
	time.Sleep(h.graceFraction(noticeFraction))
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(h.graceFraction(drainFraction)))
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

// leave takes the host off the list of those that keep connections. What other
// hosts have begun here goes on.
func (h *Host) deregister() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if err := h.registry.Leave(ctx); err != nil {
		eventlog.PlatformUnreached.Info(h.log).Err(err).Str("call", "leave").Send()
	}
}

// awaitPeers waits until what other hosts have begun here has ended.
func (h *Host) awaitRemoteWork(ctx context.Context) {
	for ctx.Err() == nil && h.hasRemoteWork() {
		time.Sleep(remoteWorkPollInterval)
	}
}

// peersPoll is how often a stopping host looks whether others still need it.
const remoteWorkPollInterval = 20 * time.Millisecond

func (h *Host) hasRemoteWork() bool {
	if h.remoteJobs.Load() > 0 {
		return true
	}
	for _, s := range h.allSets() {
		if s.Open() > 0 {
			return true
		}
	}
	return false
}

func (h *Host) graceFraction(part float64) time.Duration {
	return time.Duration(part * float64(h.settings.GracePeriod))
}

// closeTimeout bounds the end of each part.
const closeTimeout = 300 * time.Millisecond

// shutDownServers lets the answers leave that are on their way to other hosts.
// A commit whose answer is lost here would be in doubt there.
func (h *Host) shutDownServers() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, s := range h.servers {
		wg.Go(func() {
			// Connections that other hosts keep open are closed after the timeout.
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
		// The process ends; what a closed listener reports changes nothing.
		_ = s.Close()
	}
	if err := h.gateway.Stop(ctx); err != nil {
		h.log.Debug().Err(err).Msg("the gateway did not stop in time")
	}
}

// Kill ends the host at once, as a crash does.
func (h *Host) Kill() {
	h.registry.Abandon()
	h.close()
}
