package host

import (
	"context"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/conf"
	"github.com/dotterelswitch/dotterelswitch/node/eventlog"
)

// prepareLeadTime is how long before the start of an event its connections are
// opened. It must exceed the time that opening all of them takes, at 10 to
// 30 ms each.
const prepareLeadTime = time.Minute

// prepareEvents opens connections for events that start within prepareLeadTime,
// once per start of an event.
func (h *Host) prepareEvents(ctx context.Context, cfg *conf.Config, now time.Time) {
	for _, e := range cfg.Events {
		key := eventKey{name: e.Name, start: e.Start.UnixNano()}
		if now.Before(e.Start.Add(-prepareLeadTime)) || now.After(e.Start) || h.preparedEvents[key] {
			continue
		}
		h.preparedEvents[key] = true
		eventlog.EventPrepared.Info(h.log).Str("event_name", e.Name).Time("start", e.Start).Send()
		go h.owner.Prepare(ctx, e.Services)
	}
}

// eventKey identifies one start of an event; start is in Unix nanoseconds.
type eventKey struct {
	name  string
	start int64
}
