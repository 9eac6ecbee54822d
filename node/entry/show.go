package entry

import (
	"slices"
	"strings"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/logpos"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
	"github.com/dotterelswitch/dotterelswitch/node/inspect/inspectpb"
	"github.com/dotterelswitch/dotterelswitch/node/replicaset"
)

// maxShownQueues bounds the queues that are shown of a member.
const maxShownQueues = 10

// Show implements inspect.StateProvider.
func (h *Host) Show() *inspectpb.ShowResponse {
	now := clock.Now()
	teams, more := h.showTeams(now)
	return &inspectpb.ShowResponse{
		Host: h.settings.Host, Zone: h.settings.Topology.Zone, Ready: h.Ready(),
		Sessions: uint32(h.gateway.Sessions()), MaxSessions: uint32(h.settings.MaxSessions), Jobs: uint32(h.remoteJobCount.Load()),
		Configuration: h.showConfiguration(), Store: h.showStore(), Services: h.showServices(now),
		Teams: teams, MoreTeams: uint32(more), KnownServices: uint32(h.registry.ServiceCount()),
	}
}

func (h *Host) showConfiguration() *inspectpb.Configuration {
	c := h.registry.Catalog()
	if c == nil {
		return &inspectpb.Configuration{}
	}
	return &inspectpb.Configuration{Version: c.Version, Routes: uint32(c.Len()), Teams: uint32(c.Teams.Len())}
}

func (h *Host) showStore() *inspectpb.Store {
	st := h.registry.State()
	return &inspectpb.Store{
		Away: st.Unreachable, HeardMsAgo: uint32(st.SinceContact.Milliseconds()), Revision: st.Revision.Number(), Epoch: uint64(st.Revision.Epoch()), Relay: st.Relay,
		Direct: st.Direct, Followers: uint32(st.Followers), Hosts: uint32(st.Hosts),
		Phase: st.Phase.String(), MayRelay: st.MayRelay, Keys: uint32(st.Keys),
	}
}

func (h *Host) showServices(now time.Duration) []*inspectpb.Service {
	sets := h.allSets()
	slices.SortFunc(sets, func(a, b *replicaset.Set) int { return strings.Compare(a.Service(), b.Service()) })
	out := make([]*inspectpb.Service, 0, len(sets))
	for _, s := range sets {
		out = append(out, h.showService(s, now))
	}
	return out
}

func (h *Host) showService(s *replicaset.Set, now time.Duration) *inspectpb.Service {
	primary, _ := s.AssumedPrimary()
	lock := h.registry.LockOf(s.Service())
	out := &inspectpb.Service{
		Name: s.Service(), Primary: primary, Term: uint64(s.Term()),
		Lock: &inspectpb.Lock{Holder: lock.Holder, Acting: h.leadsPromotion(s.Service()), Token: lock.Token()},
	}
	if g := h.group(s.Service()); g != nil {
		out.Withheld = g.promoter.Withheld()
	}
	if f, found := s.Floor(); found {
		out.Floor = showPosition(f.Position)
		out.FloorMsAgo = uint32((now - f.AsOf).Milliseconds())
	}
	for _, m := range s.MemberStats(now) {
		out.Upstreams = append(out.Upstreams, showUpstream(m, now))
	}
	return out
}

func showUpstream(m replicaset.MemberStats, now time.Duration) *inspectpb.Upstream {
	out := &inspectpb.Upstream{
		Name: m.ID, Address: m.Address, Zone: m.Zone, Slots: uint32(m.Slots),
		Leaving: m.Leaving, Failing: m.Failing, Dead: m.Dead,
		Connections: uint32(m.Connections), InUse: uint32(m.InUse), Waiting: uint32(m.Waiting),
		Elsewhere: uint32(m.RemoteInFlight), Gates: m.Gates,
	}
	for _, q := range m.Queues[:min(len(m.Queues), maxShownQueues)] {
		out.Queues = append(out.Queues, &inspectpb.Queue{Team: q.Team, Priority: int32(q.Priority), Waiting: uint32(q.Waiting)})
	}
	for _, k := range m.GateLoads {
		out.GateLoads = append(out.GateLoads, &inspectpb.GateLoad{
			Gate: k.Gate, Running: uint32(k.Report.Running), Capacity: uint32(k.Report.Capacity), Waiting: uint32(k.Report.Waiting),
			MsAgo: uint32(k.Age.Milliseconds()),
		})
	}
	if !m.Position.IsZero() {
		out.Held = showPosition(m.Position)
		out.HeldMsAgo = uint32(m.PositionAge.Milliseconds())
	}
	if m.Ejection.Active(now) {
		out.Ejection = m.Ejection.Cause.String()
		out.EjectionMsLeft = uint32((m.Ejection.Until - now).Milliseconds())
	}
	return out
}

func showPosition(p logpos.Position) *inspectpb.Position {
	return &inspectpb.Position{Term: uint64(p.Term), Offset: uint64(p.Offset)}
}
