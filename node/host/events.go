package host

import (
	"context"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/conf"
	"github.com/dotterelswitch/dotterelswitch/node/eventlog"
)

// prepareAhead is how long before a declared start connections are opened. It
// is well above the time that all of them take, at 10 to 30 ms each.
const prepareAhead = time.Minute

// prepareEvents opens connections for the events that start soon, once for
// each event.
func (h *Host) prepareEvents(ctx context.Context, cfg *conf.Config, now time.Time) {
	for _, e := range cfg.Events {
		key := eventKey{name: e.Name, start: e.Start.UnixNano()}
		if now.Before(e.Start.Add(-prepareAhead)) || now.After(e.Start) || h.prepared[key] {
			continue
		}
		h.prepared[key] = true
		eventlog.EventPrepared.Info(h.log).Str("event_name", e.Name).Time("start", e.Start).Send()
		go h.owner.Prepare(ctx, e.Services)
	}
}

// eventKey names one start of an event.
type eventKey struct {
	name  string
	start int64
}
