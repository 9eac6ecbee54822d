package replicaset

import (
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/balance"
	"github.com/dotterelswitch/dotterelswitch/core/catalog"
	"github.com/dotterelswitch/dotterelswitch/core/feature"
	"github.com/dotterelswitch/dotterelswitch/core/gateload"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
	"github.com/dotterelswitch/dotterelswitch/node/eventlog"
)

// LoadCounts are the events of load reports since the previous call of TakeLoadCounts.
type LoadCounts struct {
	// RefusedByReports counts the reads that were refused because all members that could
	// serve them would have.
	RefusedByReports int
	// InvalidReports counts the reports that were ignored.
	InvalidReports int
}

type loadCounters struct{ refusedByReports, invalidReports atomic.Int64 }

// TakeLoadCounts returns the counts and resets them.
func (s *Set) TakeLoadCounts() LoadCounts {
	return LoadCounts{
		RefusedByReports: int(s.loadCounters.refusedByReports.Swap(0)), InvalidReports: int(s.loadCounters.invalidReports.Swap(0)),
	}
}

// Load returns this host's load as a gate of a member, for the hosts that it answers; nil
// if it is none or the feature is disabled.
func (s *Set) Load(member string) *gateload.Report {
	m, known := s.Member(member)
	if !known || !s.features.Enabled(feature.LoadReports) {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.share.GateAddresses) > 0 {
		return nil
	}
	waits := m.pool.ExpectedWaits(gateload.MaxClasses, clock.Now())
	for i := range waits {
		waits[i] = min(waits[i], gateload.MaxWait)
	}
	return &gateload.Report{Running: m.pool.InUse(), Capacity: m.pool.Capacity(), Waiting: m.pool.Waiting(), ExpectedWait: waits}
}

// callStarted records a job that is sent to a gate.
func (m *Member) callStarted(c gateload.Call) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.loads.Started(c)
}

// callEnded records what the end of a job shows about the load of its gate.
func (m *Member) callEnded(c gateload.Call, res Result, now time.Duration) {
	_, isGateErr := res.gateError()
	load := m.validLoad(c.Gate, res.Load, now)
	m.mu.Lock()
	defer m.mu.Unlock()
	ran := res.Answer.Signature != ""
	m.loads.Ended(c, ran)
	switch {
	case isGateErr:
		m.loads.Forget(c.Gate)
	case load != nil:
		m.loads.Record(c.Gate, *load, now)
		if ran {
			way := m.set.topology.EstimateRoundTrip(m.entry.Zone)
			m.loads.ObserveServiceTime(now-c.StartedAt-res.Waited-way, *load, m.loadMember(), now)
		}
	}
}

// validLoad returns a gate's report, or nil if there is none or it is to be ignored.
func (m *Member) validLoad(gate string, r *gateload.Report, now time.Duration) *gateload.Report {
	s := m.set
	if r == nil || !s.features.Enabled(feature.LoadReports) {
		return nil
	}
	if r.Valid() {
		return r
	}
	s.loadCounters.invalidReports.Add(1)
	if suppressed, ok := s.logBudget.Allow(eventlog.LoadReportInvalid, now); ok {
		eventlog.LoadReportInvalid.Warn(m.log).Str("gate", gate).Int("running", r.Running).Int("capacity", r.Capacity).
			Int("waiting", r.Waiting).Durs("expected_wait_ms", r.ExpectedWait).Int("left_out", suppressed).Send()
	}
	return nil
}

// loadMember describes the member to the tracker of its load. It is called with mu held.
func (m *Member) loadMember() gateload.Member {
	return gateload.Member{Slots: m.entry.Slots, Gates: len(m.share.GateHosts)}
}

// nextGate returns the gate to which a team's statement for a member would be sent now;
// empty for this host.
func (s *Set) nextGate(m *Member, team string, now time.Duration) string {
	if s.remote == nil {
		return ""
	}
	for _, address := range m.route(team, now) {
		if s.gateHealth.usable(address, now) {
			return address
		}
	}
	return ""
}

// hasReports reports whether a gate on another host has reported its load lately.
func (m *Member) hasReports(now time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.loads.HasReports(now)
}

// addLoad adds what is known of the load of a member to its candidate. It reports whether
// a gate on another host has reported it.
func (m *Member) addLoad(c *balance.Candidate, gate string, priority int, now time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if gate == "" {
		c.Load = &gateload.Estimate{Service: m.responseTime, Wait: m.pool.ExpectedWait(priority, now)}
		return false
	}
	c.OldestCall = m.loads.OldestCall(priority, now)
	e, found := m.loads.Estimate(gate, priority, m.loadMember(), now)
	if found {
		c.Load = &e
	}
	return found
}

// rank orders the candidates for a read by expected cost. Reports of gates on other hosts
// are used if there are any. It is called with mu held.
func (s *Set) rank(candidates []balance.Candidate, req *Request, now time.Duration) []balance.Candidate {
	if !slices.ContainsFunc(candidates, func(c balance.Candidate) bool { return s.members[c.ID].hasReports(now) }) {
		return balance.Rank(candidates)
	}
	reported := false
	withLoad := make([]balance.Candidate, len(candidates))
	for i, c := range candidates {
		m := s.members[c.ID]
		reported = m.addLoad(&c, s.nextGate(m, req.Team, now), req.Route.Priority, now) || reported
		withLoad[i] = c
	}
	if !reported {
		return balance.Rank(candidates)
	}
	return balance.RankByLoad(withLoad, s.random)
}

// refusalByReports returns the refusal of a read that every member that could serve it would
// refuse, according to fresh reports of the gates that it would be sent to; nil if there
// is none. Its retry time is the shortest of the expected waits. A report's wait is
// shortened by its age, in which the queue may have been served.
func (a *attempts) refusalByReports(now time.Duration) error {
	s := a.set
	members := s.possibleReaders(&a.request, now)
	if !slices.ContainsFunc(members, func(m *Member) bool { return m.hasReports(now) }) {
		return nil
	}
	shortest, remote := time.Duration(0), false
	for i, m := range members {
		gate := s.nextGate(m, a.request.Team, now)
		wait, known := m.knownWait(gate, a.request.Route.Priority, now)
		// A gate with a free connection runs a read at once, also after its start deadline.
		if !known || wait <= 0 || now+wait <= a.request.StartDeadline {
			return nil
		}
		if i == 0 || wait < shortest {
			shortest = wait
		}
		remote = remote || gate != ""
	}
	// The queues of this host refuse by themselves.
	if !remote {
		return nil
	}
	s.loadCounters.refusedByReports.Add(1)
	return &RefusedError{Reason: eventlog.ReasonAllOverloaded, RetryAfter: shortest}
}

// possibleReaders returns the members that could serve a read.
func (s *Set) possibleReaders(req *Request, now time.Duration) []*Member {
	if req.Route.Consistency == catalog.Primary {
		if m, found := s.Primary(); found {
			return []*Member{m}
		}
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*Member
	for _, m := range s.members {
		if !s.excludedFromReads(m, now) {
			out = append(out, m)
		}
	}
	return out
}

// knownWait returns the wait of a priority class at a gate, without what may have been
// served since its report. It returns false if the gate has not reported lately.
func (m *Member) knownWait(gate string, priority int, now time.Duration) (time.Duration, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if gate == "" {
		return m.pool.ExpectedWait(priority, now), true
	}
	k, found := m.loads.Get(gate, now)
	return k.Report.WaitOf(priority) - k.Age, found
}

// newRandom returns the source of random numbers of a set that is given none.
func newRandom() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }
