package soak

import (
	"syscall"
	"time"

	"github.com/dotterelswitch/dotterelswitch/standin/faultproxy"
	"github.com/dotterelswitch/dotterelswitch/standin/lineplatform"
)

// memberDelay is what DelayMember adds each way: several statements' work.
const memberDelay = 60 * time.Millisecond

// lostAnswers and refusedPromotions are how many answers LoseAnswers loses and
// how many calls RefusePromotion turns away.
const (
	lostAnswers       = 12
	refusedPromotions = 3
)

// storeAway is how long the store is away before it returns from a copy.
const storeAway = 300 * time.Millisecond

// carryOut makes a fault happen, and undoes it when its time is over.
func (s *run) carryOut(e Event) {
	host := s.fleet[e.Target%len(s.fleet)]
	switch e.Kind {
	case KillHost:
		host.signal(syscall.SIGKILL, true)
	case KillMany:
		for n := range (len(s.fleet) + 1) / 2 {
			s.fleet[(e.Target+n)%len(s.fleet)].signal(syscall.SIGKILL, true)
		}
	case StopHost:
		s.stopHost(e, host)
	case PauseHost:
		host.pause(e.For)
	case ReloadHost:
		host.signal(syscall.SIGHUP, false)
	case CutStore:
		during(host.store, faultproxy.Fault{HoldToTarget: true, HoldToClient: true}, e.For)
	case SilenceStore:
		host.store.BlackholeConnections()
	case StoreRefuses:
		s.failStore(lineplatform.Unavailable, e.For)
	case StoreSilent:
		s.failStore(lineplatform.Unresponsive, e.For)
	case StoreLosesAnswers:
		s.failStore(lineplatform.DroppingAnswers, e.For)
	case StoreForgets:
		s.platform.Store.Compact()
	case RestoreStore:
		older := s.platform.Store.Backup()
		time.Sleep(e.For)
		s.platform.RestoreStore(older, storeAway, heartbeat)
	case RefusePromotion:
		s.platform.RefusePromotions(refusedPromotions)
	case ChangeConfig:
		s.routes.change()
	default:
		s.harmMember(e)
	}
}

// stopHost ends a host as planned.
func (s *run) stopHost(e Event, host *process) {
	if aloneFor(s.plan, e, grace) {
		s.mu.Lock()
		s.stops = append(s.stops, stop{host: host, incarnation: host.running(), at: time.Now()})
		s.mu.Unlock()
	}
	host.stop()
}

func (s *run) failStore(o lineplatform.FailureMode, d time.Duration) {
	s.platform.Store.SetFailureMode(o)
	time.Sleep(d)
	s.platform.Store.SetFailureMode(lineplatform.Healthy)
}

func during(p *faultproxy.Proxy, f faultproxy.Fault, d time.Duration) {
	p.SetFault(f)
	time.Sleep(d)
	p.SetFault(faultproxy.Fault{})
}

// harmMember carries out the faults of one member.
func (s *run) harmMember(e Event) {
	g := s.groups[e.Target%len(s.groups)]
	all := g.Members()
	m := all[e.Target/len(s.groups)%len(all)]
	proxy := s.proxies.of(m)
	switch e.Kind {
	case CrashMember:
		s.crash(m, e.For)
	case CrashPrimary:
		if p := g.Primary(); p != nil {
			s.crash(p, e.For)
		}
	case EmptyMember:
		s.empty(m, e.For)
	case EmptyPrimary:
		if p := g.Primary(); p != nil {
			s.empty(p, e.For)
		}
	case ForeignEntry:
		s.writeOver(m, e)
	case DrainPrimary:
		s.drainPrimary(g)
	case DelayMember:
		during(proxy, faultproxy.Fault{Delay: memberDelay}, e.For)
	case HoldToMember:
		during(proxy, faultproxy.Fault{HoldToTarget: true}, e.For)
	case HoldFromMember:
		during(proxy, faultproxy.Fault{HoldToClient: true}, e.For)
	case ResetMember:
		proxy.ResetConnections()
	case SilenceMember:
		proxy.BlackholeConnections()
	case DeafReplica:
		m.SetReplicationBlocked(true)
		time.Sleep(e.For)
		m.SetReplicationBlocked(false)
	case LoseAnswers:
		loseAnswers(g, m, e)
	default:
		s.found.add("no fault is known as %s", e.Kind)
	}
}

// loseAnswers harms the primary in one half of the cases: only there answers to
// writes can be lost.
func loseAnswers(g *lineplatform.Group, m *lineplatform.Member, e Event) {
	if p := g.Primary(); p != nil && e.For%2 == 0 {
		m = p
	}
	m.DropAnswers(lostAnswers)
}

// crash ends a member and starts it again.
func (s *run) crash(m *lineplatform.Member, down time.Duration) {
	m.Crash()
	time.Sleep(down)
	if m.Removed() {
		return
	}
	if err := m.Restart(); err != nil {
		s.found.add("the stand-in's member %s did not start again: %v", m.ID, err)
	}
}

// empty ends a member and starts it again without its log.
func (s *run) empty(m *lineplatform.Member, down time.Duration) {
	m.Crash()
	time.Sleep(down)
	if m.Removed() {
		return
	}
	if err := m.RestartEmpty(false); err != nil {
		s.found.add("the stand-in's member %s did not start again: %v", m.ID, err)
	}
}

// foreignValues are what another writer may leave.
var foreignValues = []string{"", "{", "null", "[7]", `{"service":7}`, `{"service":"x","state":"odd","address":"1.2.3.4:5"}`, "\xff\xfe"}

// writeOver leaves something that is no entry under a key of its own and in place
// of a member's entry, until the member writes again.
func (s *run) writeOver(m *lineplatform.Member, e Event) {
	value := []byte(foreignValues[e.Target%len(foreignValues)])
	s.platform.Store.Put("servers/foreign", value)
	s.platform.Store.Put("servers/"+m.ID, value)
	time.Sleep(min(e.For, heartbeat))
	m.Register()
	s.platform.Store.Delete("servers/foreign")
}

// heartbeat is how often members write their entries on the users' platform.
const heartbeat = 1200 * time.Millisecond

// drainPrimary replaces a primary as planned.
func (s *run) drainPrimary(g *lineplatform.Group) {
	p := g.Primary()
	if p == nil || p.Draining() {
		return
	}
	if _, err := g.AddMember(); err != nil {
		s.found.add("the stand-in started no member: %v", err)
		return
	}
	p.Drain()
	time.Sleep(drainBound + time.Second)
	g.Remove(p)
}
