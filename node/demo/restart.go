package demo

import (
	"context"
	"time"
)

const (
	// stopTimeout bounds the graceful stop of one host.
	stopTimeout = 20 * time.Second
	// restartPause follows the restart of each host.
	restartPause = 500 * time.Millisecond
)

// rollingRestart stops and restarts the hosts one after the other, until the load
// has ended.
func (d *demo) rollingRestart(ctx context.Context) {
	for _, h := range d.hosts {
		if ctx.Err() != nil {
			return
		}
		stopCtx, cancel := context.WithTimeout(context.Background(), stopTimeout)
		started := time.Now()
		clean := h.host.Stop(stopCtx)
		cancel()
		d.progressf("  %s stopped in %d ms, clean: %t", h.settings.ID, time.Since(started).Milliseconds(), clean)
		next, err := d.launchHost(h.settings)
		if err != nil {
			h.stopped = true
			d.progressf("  %s did not start again: %v", h.settings.ID, err)
			return
		}
		h.host = next
		d.restarts++
		_ = sleep(ctx, restartPause)
	}
}
