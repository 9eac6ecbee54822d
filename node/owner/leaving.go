package owner

import (
	"context"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/conf"
	"github.com/dotterelswitch/dotterelswitch/core/group"
)

// restFor bounds how long a primary that leaves is given to finish what runs.
// An upstream that leaves gets no new work within 3 s, new primary included.
const restFor = 2 * time.Second

// leaving reports whether the configuration drains an upstream.
func (o *Owner) leaving(member string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.config.Draining(conf.DrainUpstream, member)
}

// handOverPrimaries starts the replacement of primaries that leave; it needs
// mu held. Only the host that owns the primary's pool acts, because it knows
// when the writes on it have come to rest.
func (o *Owner) handOverPrimaries() {
	for _, h := range o.holdings {
		if !h.serving() || !o.config.Draining(conf.DrainUpstream, h.spec.Name) || !h.isPrimary() {
			continue
		}
		if h.leaving.Swap(true) {
			continue
		}
		avoid := o.drainedMembers(h.group.spec)
		o.wg.Go(func() {
			defer h.leaving.Store(false)
			h.handOverPrimary(avoid)
		})
	}
}

// drainedMembers needs mu held.
func (o *Owner) drainedMembers(s conf.Service) []string {
	var names []string
	for _, u := range s.Upstreams {
		if o.config.Draining(conf.DrainUpstream, u.Name) {
			names = append(names, u.Name)
		}
	}
	return names
}

// isPrimary reports whether the member is the group's primary.
func (h *holding) isPrimary() bool {
	primary := false
	h.group.watcher.Inspect(func(v *group.View, _ time.Duration) {
		st, found := v.CurrentPrimary()
		primary = found && st.Member == h.spec.Name
	})
	return primary
}

// handOverPrimary waits until nothing runs on the primary any more, new work
// being refused meanwhile, and has it replaced.
func (h *holding) handOverPrimary(avoid []string) {
	ctx, cancel := context.WithTimeout(h.ctx, restFor)
	defer cancel()
	h.pool.rest(ctx)
	h.group.watcher.Handover(h.ctx, avoid)
}
