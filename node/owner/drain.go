package owner

import (
	"context"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/conf"
	"github.com/dotterelswitch/dotterelswitch/core/group"
)

// switchoverDrainTimeout bounds the wait for the requests on a draining primary
// before it is replaced.
const switchoverDrainTimeout = 2 * time.Second

// draining reports whether the configuration drains an upstream.
func (o *Owner) draining(member string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.config.Draining(conf.DrainUpstream, member)
}

// switchOverPrimaries starts the replacement of draining primaries; it needs mu
// held. Only the owner of the primary's pool acts, because only it knows when no
// request runs on the primary any more.
func (o *Owner) switchOverPrimaries() {
	for _, c := range o.claims {
		if !c.serving() || !o.config.Draining(conf.DrainUpstream, c.spec.Name) || !c.isPrimary() {
			continue
		}
		if c.switchingOver.Swap(true) {
			continue
		}
		excluded := o.drainingMembers(c.group.spec)
		o.wg.Go(func() {
			defer c.switchingOver.Store(false)
			c.switchOverPrimary(excluded)
		})
	}
}

// drainingMembers returns the draining members of a service; it needs mu held.
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
	c.group.monitor.Inspect(func(v *group.View, _ time.Duration) {
		st, found := v.CurrentPrimary()
		primary = found && st.Member == c.spec.Name
	})
	return primary
}

// switchOverPrimary waits for the primary's requests to finish, while new ones are
// refused, and then replaces the primary.
func (c *poolClaim) switchOverPrimary(avoid []string) {
	ctx, cancel := context.WithTimeout(c.ctx, switchoverDrainTimeout)
	defer cancel()
	c.pool.awaitIdle(ctx)
	c.group.monitor.Switchover(c.ctx, avoid)
}
