package demo

import (
	"context"
	"time"
)

const (
	// stopTimeout bounds one planned stop.
	stopTimeout = 20 * time.Second
	// betweenRestarts is the pause after a host is back.
	betweenRestarts = 500 * time.Millisecond
)

// restartAll stops and starts every host, one after the other, until the load
// is over.
func (d *demo) restartAll(ctx context.Context) {
	for _, h := range d.hosts {
		if ctx.Err() != nil {
			return
		}
		bounded, cancel := context.WithTimeout(context.Background(), stopTimeout)
		started := time.Now()
		clean := h.host.Stop(bounded)
		cancel()
		d.sayf("  %s stopped in %d ms, clean: %t", h.settings.ID, time.Since(started).Milliseconds(), clean)
		next, err := d.launch(h.settings)
		if err != nil {
			h.dead = true
			d.sayf("  %s did not start again: %v", h.settings.ID, err)
			return
		}
		h.host = next
		d.restarts++
		_ = wait(ctx, betweenRestarts)
	}
}
