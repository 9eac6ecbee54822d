package replicaset

import (
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/feature"
	"github.com/dotterelswitch/dotterelswitch/core/outlier"
	"github.com/dotterelswitch/dotterelswitch/core/statement"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
	"github.com/dotterelswitch/dotterelswitch/node/eventlog"
)

// errEjected refuses a read for a member that fails or is slow. The sender tries another
// member at once.
var errEjected = &RefusedError{Reason: "the member is ejected"}

// outlierState is what a host knows about a member's failures and response times.
type outlierState struct {
	// detector judges the member by the statements that this host runs on it.
	detector outlier.Detector
	// remote holds the outcomes of statements that ran through gates. They serve only
	// for comparison with other members.
	remote outlier.Window
	// reported is the verdict of a gate that lasts longest.
	reported outlier.Ejection
	counts   OutlierCounts
	// invalidLoggedAt is when an invalid verdict was last logged.
	invalidLoggedAt time.Duration
}

// invalidVerdictLogInterval bounds the log lines about invalid verdicts of gates.
const invalidVerdictLogInterval = time.Minute

// OutlierCounts counts ejections and what they have caused, by cause.
type OutlierCounts struct {
	// Ejections counts this host's verdicts, Refused the reads that it refused for them.
	Ejections, Refused map[outlier.Cause]int
	// Invalid counts verdicts of gates that were ignored.
	Invalid int
}

func (c *OutlierCounts) add(other OutlierCounts) {
	c.Ejections, c.Refused = addCounts(c.Ejections, other.Ejections), addCounts(c.Refused, other.Refused)
	c.Invalid += other.Invalid
}

func addCounts(sum, more map[outlier.Cause]int) map[outlier.Cause]int {
	for cause, n := range more {
		sum = increment(sum, cause, n)
	}
	return sum
}

func increment(counts map[outlier.Cause]int, cause outlier.Cause, n int) map[outlier.Cause]int {
	if counts == nil {
		counts = map[outlier.Cause]int{}
	}
	counts[cause] += n
	return counts
}

// Ejection returns the verdict on the member: this host's own or the one reported by a
// gate, whichever lasts longer. It is zero if the member is not ejected.
func (m *Member) Ejection(now time.Duration) outlier.Ejection {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ejection(now)
}

// ejection returns the verdict on the member. It is called with mu held.
func (m *Member) ejection(now time.Duration) outlier.Ejection {
	own := m.outlier.detector.Verdict(now)
	if reported := m.outlier.reported; reported.Active(now) && reported.Until > own.Until {
		return reported
	}
	return own
}

// ranksEjected reports whether a team's reads should prefer other members. A read is the
// probe if one is due here and this host runs it: another gate would refuse it. It is
// called with mu held.
func (m *Member) ranksEjected(team string, now time.Duration) bool {
	return m.ejection(now).Active(now) && (!m.outlier.detector.ProbeDue(now) || len(m.routeOf(team, now)) > 0)
}

// ejectsOutliers reports whether members of the group can be ejected: another member must
// be able to serve.
func (s *Set) ejectsOutliers() bool {
	if !s.features.Enabled(feature.OutlierEjection) {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.members) > 1
}

// isOutcome reports whether the answer to an operation shows how the member runs the
// statements of callers. A transaction that opens shows nothing about them, and the
// proxy's own operations succeed on a member that fails all statements.
func isOutcome(v statement.Verb, c statement.Code) bool {
	switch v {
	case statement.Forward, statement.ExecutePrepared:
		return c == statement.OK || c == statement.Failure
	case statement.StartTransaction:
		return c == statement.Failure
	}
	return false
}

// observeOutcome records the outcome of a statement that the member ran on a connection of
// this host, and judges the member by it.
func (m *Member) observeOutcome(sent, now time.Duration, a statement.Answer, team string) {
	if !m.set.ejectsOutliers() {
		return
	}
	sample := outlier.Sample{At: now, Took: now - sent, Failed: a.Code == statement.Failure, Team: team}
	primary, suspicious := m.set.isAssumedPrimary(m), false
	m.judge(now, func(d *outlier.Detector) (change outlier.Change) {
		d.SetPrimary(primary)
		change, suspicious = d.Observe(sample)
		return change
	})
	if suspicious {
		peers := m.set.outlierPeers(m, now)
		m.judge(now, func(d *outlier.Detector) outlier.Change { return d.Judge(peers, now) })
	}
}

// judge applies f to the detector, counts and logs a change of the verdict, and returns the
// verdict.
func (m *Member) judge(now time.Duration, f func(*outlier.Detector) outlier.Change) outlier.Ejection {
	m.mu.Lock()
	change := f(&m.outlier.detector)
	verdict := m.outlier.detector.Verdict(now)
	if change == outlier.Ejected {
		m.outlier.counts.Ejections = increment(m.outlier.counts.Ejections, verdict.Cause, 1)
	}
	m.mu.Unlock()
	switch change {
	case outlier.Ejected:
		eventlog.UpstreamEjected.Warn(m.log).Stringer("cause", verdict.Cause).Dur("for_ms", verdict.Until-now).Send()
	case outlier.Readmitted:
		eventlog.UpstreamReadmitted.Info(m.log).Send()
	}
	return verdict
}

// outlierPeers returns what this host knows about the other members of the group.
func (s *Set) outlierPeers(m *Member, now time.Duration) []outlier.Peer {
	var peers []outlier.Peer
	for _, other := range s.Members() {
		if other != m {
			peers = append(peers, other.asPeer(now))
		}
	}
	return peers
}

func (m *Member) asPeer(now time.Duration) outlier.Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	window := m.outlier.detector.Window()
	if len(m.share.GateAddresses) > 0 {
		window = &m.outlier.remote
	}
	return outlier.PeerOf(window, m.ejection(now).Active(now), now)
}

// observeRemoteOutcome records the outcome and the verdict in an answer of a gate. The
// time on the member is estimated: the gate is near the member.
func (m *Member) observeRemoteOutcome(began, now time.Duration, res Result, team string) {
	if !m.set.ejectsOutliers() {
		return
	}
	if !m.takeVerdict(res.Ejection, now) {
		m.log.Warn().Stringer("cause", res.Ejection.Cause).Dur("for_ms", res.Ejection.Until-now).Msg("ignored an invalid ejection that a gate has reported")
	}
	failed := res.Answer.Code == statement.Failure
	if res.Err != nil || res.Answer.Signature == "" && !failed {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	took := max(now-began-res.Waited-m.set.topology.EstimateRoundTrip(m.entry.Zone), 0)
	m.outlier.remote.Add(outlier.Sample{At: now, Took: took, Failed: failed, Team: team})
}

// takeVerdict takes a gate's verdict. Of several gates' verdicts the one that lasts longest
// counts. It returns false if the verdict is invalid and that should be logged.
func (m *Member) takeVerdict(e outlier.Ejection, now time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if e == (outlier.Ejection{}) {
		return true
	}
	if e.Until <= now+outlier.MaxRemaining && e.Cause != outlier.UnknownCause {
		if e.Until > m.outlier.reported.Until {
			m.outlier.reported = e
		}
		return true
	}
	m.outlier.counts.Invalid++
	if last := m.outlier.invalidLoggedAt; last != 0 && now-last < invalidVerdictLogInterval {
		return true
	}
	m.outlier.invalidLoggedAt = now
	return false
}

// TakeOutlierCounts returns the counts since the last call.
func (s *Set) TakeOutlierCounts() OutlierCounts {
	var sum OutlierCounts
	for _, m := range s.Members() {
		m.mu.Lock()
		sum.add(m.outlier.counts)
		m.outlier.counts = OutlierCounts{}
		m.mu.Unlock()
	}
	return sum
}

// executeJudged runs a job unless the member is ejected and the job is a read that another
// member can run.
func (s *Set) executeJudged(j Job, run func() Result) Result {
	m, known := s.Member(j.Member)
	if !known || !s.ejectsOutliers() {
		return run()
	}
	began := clock.Now()
	admission, verdict := m.admitRead(j, began)
	if admission == outlier.Refused {
		return Result{Err: errEjected, Ejection: verdict}
	}
	res := run()
	now := clock.Now()
	failed := res.Answer.Code == statement.Failure
	// The begin of a transaction succeeds on a member that fails all statements.
	answered := res.Err == nil && (failed || j.Kind == JobRead && res.Answer.Code == statement.OK)
	res.Ejection = m.judge(now, func(d *outlier.Detector) outlier.Change {
		if admission != outlier.AsProbe {
			return outlier.Unchanged
		}
		return d.ProbeEnded(answered, failed, now-began-res.Waited, now)
	})
	return res
}

// admitRead decides whether a job may run on the member in view of its ejection, and returns
// the verdict. Only reads that a replica can serve are refused. A primary refuses nothing.
func (m *Member) admitRead(j Job, now time.Duration) (outlier.Admission, outlier.Ejection) {
	transaction := j.Kind == JobBegin && !j.RequirePrimary
	if j.IgnoreEjection || j.Kind != JobRead && !transaction || m.set.isAssumedPrimary(m) {
		return outlier.Admitted, outlier.Ejection{}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	admission := m.outlier.detector.Admit(transaction, now)
	verdict := m.outlier.detector.Verdict(now)
	if admission == outlier.Refused {
		m.outlier.counts.Refused = increment(m.outlier.counts.Refused, verdict.Cause, 1)
	}
	return admission, verdict
}

// ejectionProgress tracks, for one read, the members that refused it because they are
// ejected.
type ejectionProgress struct {
	// refusedBy holds these members and their verdicts.
	refusedBy map[string]outlier.Cause
	// overload is the overload refusal of a member that is not ejected; nil if there was
	// none. That member can serve the read later.
	overload error
}

// recordEjection records a result without a final answer and reports whether the member
// refused the read because it is ejected. The read then goes to another member.
func (p *readProgress) recordEjection(r reader, res Result) bool {
	if overloaded(res.Err) && !r.ignoreEjection {
		p.overload = res.Err
	}
	if r.ignoreEjection || r.verifyPrimary || !res.refusedForEjection() {
		return false
	}
	if p.refusedBy == nil {
		p.refusedBy = map[string]outlier.Cause{}
	}
	p.refusedBy[r.member.id] = res.Ejection.Cause
	p.recordFailure(r.member, false)
	return true
}

// refusedForEjection reports whether a gate refused a read because it has ejected the
// member.
func (r Result) refusedForEjection() bool {
	return r.Ejection != outlier.Ejection{} && refusedOutright(r.Err)
}

// usable reports whether a read may run on an ejected member: another one has not offered
// to serve it later, or the member only takes longer.
func (p *ejectionProgress) usable(c outlier.Cause) bool {
	return p.overload == nil || c == outlier.Slow
}

// readerOf returns the reader for the best member that is left. ejected is how the member
// was ranked: if it was ejected, all others have been tried or are worse. A verdict that
// has come since is left to the gate, because another member may serve the read.
func readerOf(m *Member, ejected bool, p *readProgress) (reader, error) {
	verdict := m.Ejection(clock.Now())
	if ejected && verdict != (outlier.Ejection{}) && !p.usable(verdict.Cause) {
		return reader{}, p.overload
	}
	return reader{member: m, ignoreEjection: ejected}, nil
}

// ejectedReader returns a member that refused the read because it is ejected, once no other
// member is left.
func (a *attempts) ejectedReader(p *readProgress) (*Member, bool) {
	if _, known := a.set.floor(a.request, clock.Now()); !known {
		return nil, false
	}
	return a.set.Member(p.takeRefusing())
}

// gateEjectedReader returns an ejected replica for a read for which this host knows no
// floor, while no primary can be reached either. The replica's gate determines the floor.
func (a *attempts) gateEjectedReader(p *readProgress) (*Member, bool) {
	s := a.set
	if _, found := s.Primary(); found || p.gateLacksFloor || !s.features.Enabled(feature.GateFloors) {
		return nil, false
	}
	now := clock.Now()
	for _, c := range s.rankReaders(&a.request, p.attempted, s.lowerBound(a.request), now) {
		if c.Primary {
			continue
		}
		m, found := s.Member(c.ID)
		return m, found && c.Ejected && !c.Lagging && !c.Suspect && p.usable(m.Ejection(now).Cause)
	}
	return s.Member(p.takeRefusing())
}

// takeRefusing removes and returns a member that refused the read because it is ejected;
// empty if there is none. A slow one is preferred.
func (p *ejectionProgress) takeRefusing() string {
	best := ""
	for id, cause := range p.refusedBy {
		if p.usable(cause) && (best == "" || cause == outlier.Slow) {
			best = id
		}
	}
	delete(p.refusedBy, best)
	return best
}
