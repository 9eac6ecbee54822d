package entry

import (
	"context"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/catalog"
	"github.com/dotterelswitch/dotterelswitch/core/directory"
	"github.com/dotterelswitch/dotterelswitch/core/feature"
	"github.com/dotterelswitch/dotterelswitch/core/gates"
	"github.com/dotterelswitch/dotterelswitch/core/store"
	"github.com/dotterelswitch/dotterelswitch/core/succession"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
	"github.com/dotterelswitch/dotterelswitch/node/eventlog"
	"github.com/dotterelswitch/dotterelswitch/node/promoter"
	"github.com/dotterelswitch/dotterelswitch/node/replicaset"
)

const (
	// unusedGroupTimeout is how long a group for which this host is not responsible stays
	// active after its last use. It exceeds the pause between the statements of most
	// sessions: a group that becomes active again has to learn floors and response times
	// anew.
	unusedGroupTimeout = 10 * time.Second
	// groupCheckInterval is how often unused groups are looked for.
	groupCheckInterval = time.Second
)

// activeGroup is a group whose members this host tracks: it is responsible for the group
// (package duty), or the group was used lately. Of the other groups a host knows only
// what the store says.
type activeGroup struct {
	set      *replicaset.Set
	promoter *promoter.Promoter
	// stop ends the group's goroutines.
	stop context.CancelFunc
	// usedAt is when the group was last used, on the clock of node/clock; zero if it is
	// active only because this host is responsible for it. While a fleet starts, each
	// host knows few others and is responsible for many groups for a moment.
	usedAt atomic.Int64
}

func (g *activeGroup) markUsed() { g.usedAt.Store(int64(clock.Now())) }

// group returns an active group, or nil if the group is not active.
func (h *Host) group(service string) *activeGroup {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.groups[service]
}

// Set returns the replica set of a service, or nil if its group is not active.
func (h *Host) Set(service string) *replicaset.Set {
	if g := h.group(service); g != nil {
		return g.set
	}
	return nil
}

// use returns the group of a service for a statement or a peer's question, and activates
// it if needed. It returns nil if the service is unknown or this host has no stable view
// of the fleet yet.
func (h *Host) use(service string) *activeGroup {
	g := h.group(service)
	if g == nil {
		g = h.activate(service)
	}
	if g != nil {
		g.markUsed()
	}
	return g
}

// activate makes a group active because it is used.
func (h *Host) activate(service string) *activeGroup {
	h.reconcileMu.Lock()
	defer h.reconcileMu.Unlock()
	c := h.registry.Catalog()
	if c == nil || !h.fleetKnown.Load() {
		return nil
	}
	spec, declared := c.Services[service]
	if !declared {
		return nil
	}
	return h.updateGroup(service, spec, h.registry.MembersOf(service))
}

// updateGroup applies the members of a group and activates it if needed. It is called
// with reconcileMu held.
func (h *Host) updateGroup(service string, spec catalog.Service, members []directory.Member) *activeGroup {
	g := h.group(service)
	if g != nil {
		g.set.Update(members, spec, h.fleet)
		return g
	}
	g = h.newGroup(service)
	g.set.Update(members, spec, h.fleet)
	if l, known := h.takeLeadership(service); known && !roleChangedSince(members, l.revision) {
		g.set.ObserveLeadership(l.Leadership)
	}
	h.mu.Lock()
	h.groups[service] = g
	h.mu.Unlock()
	return g
}

// newGroup starts the replica set and the promoter of a service.
func (h *Host) newGroup(service string) *activeGroup {
	ctx, cancel := context.WithCancel(h.ctx)
	g := &activeGroup{stop: cancel}
	// Without a record no promotion of the group can be under way.
	if h.registry.Catalog().Services[service].SyncReplicas > 0 && h.registry.SyncGroup(service).Revision > 0 {
		h.acknowledged.start(service, clock.Now())
	}
	g.set = replicaset.New(replicaset.Config{
		Service: service, Dial: h.dial, Proto: h.adapter.Members, Topology: h.settings.Topology,
		DrainTimeout: h.settings.DrainTimeout, RequestFloor: h.queryPeersForFloor, OnSuspect: func() { g.promoter.Wake() }, OnDropped: h.observeDropped,
		CommitsHeld: func() (time.Duration, bool) {
			token, since := h.acknowledged.heldFor(service)
			return since, token != 0
		},
		Remote: h.remote(), Owner: h.owner, Host: h.settings.Host, Features: h.settings.Features, LogBudget: h.logBudget, Log: h.log,
	})
	g.promoter = promoter.New(promoter.Config{
		Service: service, Host: h.settings.Host, Set: g.set, Registry: h.registry, Platform: h.adapter.Promotion, Peers: h,
		Features: h.settings.Features,
		Spec:     func() catalog.Service { return h.registry.Catalog().Services[service] },
		OnResult: func(r promoter.Result) { h.metrics.promotion(service, r) }, Log: h.log,
	})
	h.wg.Go(func() { g.set.Probe(ctx) })
	h.wg.Go(func() { g.promoter.Run(ctx) })
	return g
}

// dropUnusedGroups deactivates the groups that are neither used nor this host's
// responsibility.
func (h *Host) dropUnusedGroups(now time.Duration) {
	h.reconcileMu.Lock()
	defer h.reconcileMu.Unlock()
	for service, g := range h.activeGroups() {
		unusedFor := now - time.Duration(g.usedAt.Load())
		if unusedFor < unusedGroupTimeout || h.responsible(service) || !g.set.Quiescent() || g.promoter.Leading() {
			continue
		}
		h.rememberLeadership(g.set.Leadership(), service)
		h.mu.Lock()
		delete(h.groups, service)
		h.mu.Unlock()
		g.stop()
		eventlog.GroupInactive.Debug(h.log).Str("service", service).Dur("unused_ms", unusedFor).Send()
	}
}

// responsible reports whether this host is a gate or a voter of a group, or holds its
// promotion lock. It is called with reconcileMu held.
func (h *Host) responsible(service string) bool {
	return h.duties.Responsible(service) || h.registry.LockOf(service).Holder == h.settings.Host || !h.settings.Features.Enabled(feature.Gates)
}

// activeGroups returns the active groups by service.
func (h *Host) activeGroups() map[string]*activeGroup {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return maps.Clone(h.groups)
}

// ActiveGroups returns the number of active groups.
func (h *Host) ActiveGroups() int { return len(h.activeGroups()) }

func (h *Host) allSets() []*replicaset.Set {
	var out []*replicaset.Set
	for _, g := range h.activeGroups() {
		out = append(out, g.set)
	}
	return out
}

// observeLeadership applies another host's announcement of a promotion. For a group that
// is not active it is kept until the group becomes active.
func (h *Host) observeLeadership(service string, l replicaset.Leadership, mark succession.LogMark) {
	if s := h.Set(service); s != nil {
		s.ObserveLogMark(mark)
		s.ObserveLeadership(l)
		return
	}
	h.rememberLeadership(l, service)
}

// rememberedLeadership is the leadership of a group that is not active.
type rememberedLeadership struct {
	replicaset.Leadership
	// revision is the revision of the store that this host knew at the time.
	revision store.Revision
}

// rememberLeadership keeps the newest leadership of a group that is not active.
func (h *Host) rememberLeadership(l replicaset.Leadership, service string) {
	if l.Primary == "" {
		return
	}
	remembered := rememberedLeadership{Leadership: l, revision: h.registry.State().Revision}
	h.mu.Lock()
	defer h.mu.Unlock()
	if known := h.leaderships[service]; l.Term >= known.Term {
		h.leaderships[service] = remembered
	}
}

// roleChangedSince reports whether a member has become the primary by its entry after a
// revision of the store.
func roleChangedSince(members []directory.Member, revision store.Revision) bool {
	return slices.ContainsFunc(members, func(m directory.Member) bool { return m.Primary && m.RoleRevision > revision })
}

// takeLeadership returns and forgets the leadership kept for a group.
func (h *Host) takeLeadership(service string) (rememberedLeadership, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	l, known := h.leaderships[service]
	delete(h.leaderships, service)
	return l, known
}

// gateMembers returns the members of a group as the gates' plan sees them.
func gateMembers(members []directory.Member) []gates.Member {
	out := make([]gates.Member, 0, len(members))
	for _, m := range members {
		out = append(out, gates.Member{ID: m.ID, Zone: m.Zone, Slots: m.Slots})
	}
	return out
}
