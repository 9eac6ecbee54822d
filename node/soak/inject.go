package soak

import (
	"syscall"
	"time"

	"github.com/dotterelswitch/dotterelswitch/standin/answerproxy"
	"github.com/dotterelswitch/dotterelswitch/standin/faultproxy"
	"github.com/dotterelswitch/dotterelswitch/standin/lineplatform"
)

// memberDelay is the latency that DelayMember adds in each direction.
const memberDelay = 60 * time.Millisecond

// The number of answers that LoseAnswers drops, and of calls that RefusePromotion
// refuses.
const (
	lostAnswerCount       = 12
	refusedPromotionCount = 3
)

// The shares of answers that RepeatAnswers repeats and of statements that RepeatRefusals
// refuses.
const (
	repeatedAnswerShare   = 0.1
	refusedStatementShare = 0.1
)

// repeatDelays are the longest delays of repeated answers, one of which each fault has.
var repeatDelays = []time.Duration{0, 20 * time.Millisecond, 400 * time.Millisecond}

// restoreOutage is how long the store is unavailable while it is restored.
const restoreOutage = 300 * time.Millisecond

// injectFault injects a fault and reverts it after its duration.
func (s *soakRun) injectFault(e Event) {
	host := s.hosts[e.Target%len(s.hosts)]
	switch e.Kind {
	case KillHost:
		host.signal(syscall.SIGKILL, true)
	case KillMany:
		for n := range (len(s.hosts) + 1) / 2 {
			s.hosts[(e.Target+n)%len(s.hosts)].signal(syscall.SIGKILL, true)
		}
	case StopHost:
		s.stopHost(e, host)
	case PauseHost:
		host.pause(e.Duration)
	case ReloadHost:
		host.signal(syscall.SIGHUP, false)
	case StallStore:
		applyProxyFault(host.storeProxy, faultproxy.Fault{HoldToTarget: true, HoldToClient: true}, e.Duration)
	case SilenceStore:
		host.storeProxy.BlackholeConnections()
	case StoreRefuses:
		s.failStore(lineplatform.Unavailable, e.Duration)
	case StoreSilent:
		s.failStore(lineplatform.Unresponsive, e.Duration)
	case StoreLosesAnswers:
		s.failStore(lineplatform.DroppingAnswers, e.Duration)
	case CompactStore:
		s.platform.Store.Compact()
	case RestoreStore:
		backup := s.platform.Store.Backup()
		time.Sleep(e.Duration)
		s.platform.RestoreStore(backup, restoreOutage, heartbeatInterval)
	case RefusePromotion:
		s.platform.RefusePromotions(refusedPromotionCount)
	case ChangeConfig:
		s.routes.publishNext()
	default:
		s.injectMemberFault(e)
	}
}

// stopHost shuts a host down. The stop is checked for interrupted requests unless
// an unplanned fault is near.
func (s *soakRun) stopHost(e Event, host *hostProcess) {
	if noUnplannedFaultNear(s.plan, e, stopGracePeriod) {
		s.mu.Lock()
		s.stops = append(s.stops, plannedStop{host: host, incarnation: host.currentIncarnation(), at: time.Now()})
		s.mu.Unlock()
	}
	host.stop()
}

func (s *soakRun) failStore(mode lineplatform.FailureMode, d time.Duration) {
	s.platform.Store.SetFailureMode(mode)
	time.Sleep(d)
	s.platform.Store.SetFailureMode(lineplatform.Healthy)
}

func applyProxyFault(p *faultproxy.Proxy, f faultproxy.Fault, d time.Duration) {
	p.SetFault(f)
	time.Sleep(d)
	p.SetFault(faultproxy.Fault{})
}

// injectMemberFault injects the faults that concern one member.
func (s *soakRun) injectMemberFault(e Event) {
	g := s.groups[e.Target%len(s.groups)]
	all := g.Members()
	m := all[e.Target/len(s.groups)%len(all)]
	proxy := s.proxies.forMember(m).network
	switch e.Kind {
	case CrashMember:
		s.crashAndRestart(m, e.Duration)
	case CrashPrimary:
		if p := g.Primary(); p != nil {
			s.crashAndRestart(p, e.Duration)
		}
	case WipeMember:
		s.restartEmpty(m, e.Duration)
	case WipePrimary:
		if p := g.Primary(); p != nil {
			s.restartEmpty(p, e.Duration)
		}
	case ForeignEntry:
		s.overwriteEntry(m, e)
	case DrainPrimary:
		s.drainPrimary(g)
	case DelayMember:
		applyProxyFault(proxy, faultproxy.Fault{Delay: memberDelay}, e.Duration)
	case HoldToMember:
		applyProxyFault(proxy, faultproxy.Fault{HoldToTarget: true}, e.Duration)
	case HoldFromMember:
		applyProxyFault(proxy, faultproxy.Fault{HoldToClient: true}, e.Duration)
	case ResetMember:
		proxy.ResetConnections()
	case SilenceMember:
		proxy.BlackholeConnections()
	case StopReplication:
		m.SetReplicationBlocked(true)
		time.Sleep(e.Duration)
		m.SetReplicationBlocked(false)
	case LoseAnswers:
		loseAnswers(g, m, e)
	case RepeatAnswers, RepeatRefusals, CutAnswers:
		s.disturbAnswers(g, m, e)
	default:
		s.findings.add("no fault is known as %s", e.Kind)
	}
}

// disturbAnswers disturbs the answers of one member, or those of all members of its group in
// half of the cases.
func (s *soakRun) disturbAnswers(g *lineplatform.Group, m *lineplatform.Member, e Event) {
	members := []*lineplatform.Member{m}
	if e.Duration%2 == 0 {
		members = g.Members()
	}
	for _, m := range members {
		s.proxies.forMember(m).answers.ChangeFault(func(f *answerproxy.Fault) {
			f.MaxDelay = repeatDelays[e.Target/2%len(repeatDelays)]
			switch e.Kind {
			case RepeatAnswers:
				f.Repeat = repeatedAnswerShare
			case RepeatRefusals:
				f.Refuse, f.RepeatRefusals, f.RefuseAll = refusedStatementShare, true, true
			case CutAnswers:
				f.ChunkBytes = 1
			}
		})
	}
	time.Sleep(e.Duration)
	for _, m := range members {
		s.proxies.forMember(m).answers.ChangeFault(func(f *answerproxy.Fault) {
			switch e.Kind {
			case RepeatAnswers:
				f.Repeat = 0
			case RepeatRefusals:
				f.Refuse, f.RepeatRefusals = 0, false
			case CutAnswers:
				f.ChunkBytes = 0
			}
		})
	}
}

// loseAnswers selects the primary in half of the cases, since only the primary
// answers writes.
func loseAnswers(g *lineplatform.Group, m *lineplatform.Member, e Event) {
	if p := g.Primary(); p != nil && e.Duration%2 == 0 {
		m = p
	}
	m.DropAnswers(lostAnswerCount)
}

func (s *soakRun) crashAndRestart(m *lineplatform.Member, downtime time.Duration) {
	m.Crash()
	time.Sleep(downtime)
	if m.Removed() {
		return
	}
	if err := m.Restart(); err != nil {
		s.findings.add("the stand-in's member %s did not start again: %v", m.ID, err)
	}
}

// restartEmpty crashes a member and restarts it without its log.
func (s *soakRun) restartEmpty(m *lineplatform.Member, downtime time.Duration) {
	m.Crash()
	time.Sleep(downtime)
	if m.Removed() {
		return
	}
	if err := m.RestartEmpty(false); err != nil {
		s.findings.add("the stand-in's member %s did not start again: %v", m.ID, err)
	}
}

// foreignValues are values that are not valid member entries.
var foreignValues = []string{"", "{", "null", "[7]", `{"service":7}`, `{"service":"x","state":"odd","address":"1.2.3.4:5"}`, "\xff\xfe"}

// overwriteEntry writes an invalid value under a separate key and in place of a
// member's entry, until the member writes its entry again.
func (s *soakRun) overwriteEntry(m *lineplatform.Member, e Event) {
	value := []byte(foreignValues[e.Target%len(foreignValues)])
	s.platform.Store.Put("servers/foreign", value)
	s.platform.Store.Put("servers/"+m.ID, value)
	time.Sleep(min(e.Duration, heartbeatInterval))
	m.Register()
	s.platform.Store.Delete("servers/foreign")
}

// heartbeatInterval is the interval at which members write their entries on the
// users' platform.
const heartbeatInterval = 1200 * time.Millisecond

// drainPrimary adds a member, drains the primary and removes it.
func (s *soakRun) drainPrimary(g *lineplatform.Group) {
	p := g.Primary()
	if p == nil || p.Draining() {
		return
	}
	if _, err := g.AddMember(); err != nil {
		s.findings.add("the stand-in started no member: %v", err)
		return
	}
	p.Drain()
	time.Sleep(drainTimeout + time.Second)
	g.Remove(p)
}
