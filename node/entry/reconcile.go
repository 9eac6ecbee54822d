package entry

import (
	"context"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/catalog"
	"github.com/dotterelswitch/dotterelswitch/core/gates"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
	"github.com/dotterelswitch/dotterelswitch/node/registry"
	"github.com/dotterelswitch/dotterelswitch/node/replicaset"
)

const (
	// fleetUpdateSpacingPerHost is the minimum time between two updates for changes of
	// the fleet, for each host. An update ranks the hosts that have changed for every
	// group, and in a large fleet some host starts or stops nearly all the time. Gates
	// that are gone are noticed by their silence, before their registrations end.
	fleetUpdateSpacingPerHost = time.Millisecond
	// maxFleetUpdateSpacing bounds that time.
	maxFleetUpdateSpacing = 2 * time.Second
)

// fleetUpdateSpacing returns the minimum time between two updates for changes of a fleet
// of the given size.
func fleetUpdateSpacing(hosts int) time.Duration {
	return min(time.Duration(hosts)*fleetUpdateSpacingPerHost, maxFleetUpdateSpacing)
}

// reconcile updates the groups from the registry whenever it is woken.
func (h *Host) reconcile(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-h.reconcileWake:
			h.reconcileMu.Lock()
			h.updateGroups()
			h.reconcileMu.Unlock()
		}
	}
}

// updateGroups applies what has changed in the registry to the groups that it concerns.
// It is called with reconcileMu held.
func (h *Host) updateGroups() {
	h.pendingChanges.Add(h.registry.TakeChanges())
	c := h.registry.Catalog()
	if c == nil {
		return
	}
	hosts := h.registry.Fleet()
	if !h.fleetStable(hosts) {
		return
	}
	changes := h.pendingChanges
	h.pendingChanges = registry.Changes{}
	if changes.Fleet && !h.updateFleet(hosts) {
		h.pendingChanges.Fleet, changes.Fleet = true, false
	}
	if changes.All || changes.Fleet {
		h.updateAllGroups(c)
		return
	}
	for service := range changes.Services {
		if spec, declared := c.Services[service]; declared {
			h.updateGroupDuty(service, spec)
		}
	}
}

// updateFleet applies the registered hosts. It reports false, and schedules another
// reconciliation, if the previous update was too recent.
func (h *Host) updateFleet(hosts []gates.Host) bool {
	now := clock.Now()
	if wait := h.fleetUpdatedAt + fleetUpdateSpacing(len(hosts)) - now; h.fleetUpdatedAt > 0 && wait > 0 {
		time.AfterFunc(wait, h.wakeReconcile)
		return false
	}
	h.fleetUpdatedAt = now
	h.setFleet(h.fleet.Next(hosts))
	return true
}

func (h *Host) updateAllGroups(c *catalog.Catalog) {
	for service, spec := range c.Services {
		h.updateGroupDuty(service, spec)
	}
	h.duties.Retain(func(service string) bool {
		_, declared := c.Services[service]
		return declared
	})
}

// updateGroupDuty updates a group that is active or this host's responsibility.
func (h *Host) updateGroupDuty(service string, spec catalog.Service) {
	members := h.registry.MembersOf(service)
	h.duties.Update(service, gateMembers(members), replicaset.PooledConnections(spec), h.fleet)
	if h.group(service) != nil || h.responsible(service) {
		h.updateGroup(service, spec, members)
	}
}
