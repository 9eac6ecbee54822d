package owner

import (
	"context"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/conf"
	"github.com/dotterelswitch/dotterelswitch/core/group"
)

// handoverDrainTimeout bounds how long requests on a draining primary may take to
// finish before it is replaced.
const handoverDrainTimeout = 2 * time.Second

// draining reports whether the configuration drains an upstream.
func (o *Owner) draining(member string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.config.Draining(conf.DrainUpstream, member)
}

// handOverPrimaries starts the replacement of draining primaries; it needs mu
// held. Only the owner of the primary's pool acts, because it knows when no
// request runs on it any more.
func (o *Owner) handOverPrimaries() {
	for _, c := range o.claims {
		if !c.serving() || !o.config.Draining(conf.DrainUpstream, c.spec.Name) || !c.isPrimary() {
			continue
		}
		if c.handingOver.Swap(true) {
			continue
		}
		avoid := o.drainingMembers(c.group.spec)
		o.wg.Go(func() {
			defer c.handingOver.Store(false)
			c.handOverPrimary(avoid)
		})
	}
}

// drainingMembers needs mu held.
func (o *Owner) drainingMembers(s conf.Service) []string {
	var names []string
	for _, u := range s.Upstreams {
		if o.config.Draining(conf.DrainUpstream, u.Name) {
			names = append(names, u.Name)
		}
	}
	return names
}

// isPrimary reports whether the member is the group's primary.
func (c *poolClaim) isPrimary() bool {
	primary := false
	c.group.watcher.Inspect(func(v *group.View, _ time.Duration) {
		st, found := v.CurrentPrimary()
		primary = found && st.Member == c.spec.Name
	})
	return primary
}

// handOverPrimary waits for the primary's requests to finish, while new ones are
// refused, and has the primary replaced.
func (c *poolClaim) handOverPrimary(avoid []string) {
	ctx, cancel := context.WithTimeout(c.ctx, handoverDrainTimeout)
	defer cancel()
	c.pool.awaitIdle(ctx)
	c.group.watcher.Handover(c.ctx, avoid)
}
