package replicaset

import (
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/mechanism"
	"github.com/dotterelswitch/dotterelswitch/core/statement"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
	"github.com/dotterelswitch/dotterelswitch/node/eventlog"
)

// answered notes an answer to something sent at the given time.
func (m *Member) answered(sent, now time.Duration, a statement.Answer, kind string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.health.ResponseReceived(sent, now)
	if a.Signature != "" {
		m.pool.ObserveResponse(now - sent)
		m.times.Observe(kind, now-sent, now)
		m.answer += time.Duration(answerSmoothing * float64(now-sent-m.answer))
	}
}

// asked notes that something is sent that the member should answer.
func (m *Member) asked(now time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.health.RequestSent(now)
}

// dialled notes that a connection to the member is tried.
func (m *Member) dialled(now time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.health.DialStarted(now)
}

// connected notes that a connection stands and that the login is sent.
func (m *Member) connected(now time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.health.DialSucceeded(now)
}

// listens notes that the member's machine took a connection.
func (m *Member) listens() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.health.ProbeAccepted()
}

// failed notes an exchange without an answer.
func (m *Member) failed(sent time.Duration, how failure) {
	m.mu.Lock()
	was := m.health.Failing()
	switch how {
	case failureSilent:
		m.health.ExchangeTimedOut(sent)
	case failureRefused:
		m.health.ConnectionRefused(sent, clock.Now())
	default:
		m.health.ConnectionBroken(sent, clock.Now())
	}
	now := m.health.Failing()
	m.mu.Unlock()
	if now && !was {
		eventlog.UpstreamSuspected.Warn(m.log).Bool("silent", how == failureSilent).Send()
		m.set.wake()
		m.set.suspected()
	}
}

// Dead reports whether this host's evidence makes the member count as dead.
func (m *Member) Dead(now time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return now < m.absentUntil || m.health.Dead(now, m.corroborated)
}

// Corroborate notes whether another host has called the member dead.
func (m *Member) Corroborate(by bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.corroborated = by
}

// gateWordFor is how long a gate's word counts that a member is dead: about as
// long as a dead member is probed again.
const gateWordFor = 300 * time.Millisecond

// reportedDead notes that a gate has found the member dead. It only keeps
// statements from it: a report to other hosts needs evidence of this host.
func (m *Member) reportedDead(now time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.deadUntil = now + gateWordFor
}

// unusable reports whether no way to the member is known that may work.
func (m *Member) unusable(now time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if now < m.absentUntil {
		return true
	}
	switch {
	case m.health.Dead(now, m.corroborated):
		return now >= m.detoursUntil
	case now < m.deadUntil:
		return !m.reached(now)
	}
	return false
}

// reachedLately is how old an answer of a member may be for it to count as reached
// although others have lost it.
const reachedLately = time.Second

// reached reports whether the member has answered this host lately. It is called
// with mu held.
func (m *Member) reached(now time.Duration) bool {
	last := m.health.LastSuccess()
	return last > 0 && now-last < reachedLately
}

// Reached reports whether the member has answered this host lately and counts as
// living here.
func (m *Member) Reached(now time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.reached(now) && !m.health.Dead(now, m.corroborated)
}

// route returns the hosts to send a team's statement for the member to, the best
// first; none for this host itself.
func (m *Member) route(team string, now time.Duration) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case m.health.Dead(now, m.corroborated) && now < m.detoursUntil:
		return m.detours
	case now < m.deadUntil && m.reached(now):
		return nil
	case team != "" && m.set.without.Enabled(mechanism.TeamGates):
		return m.share.RouteOf(team, m.id, m.set.host)
	}
	return m.share.GateAddresses
}

// detourFor is how long other hosts count as reaching a member: several questions
// to them.
const detourFor = 500 * time.Millisecond

// Detour notes which other hosts reach a member that this one has lost.
func (s *Set) Detour(member string, hosts []string, now time.Duration) {
	m, known := s.Member(member)
	if !known || len(hosts) == 0 {
		return
	}
	m.mu.Lock()
	first := now >= m.detoursUntil
	m.detours, m.detoursUntil = hosts, now+detourFor
	m.mu.Unlock()
	if first {
		eventlog.DetourTaken.Info(m.log).Strs("hosts", hosts).Send()
	}
}

// LastAlive returns when the newest thing that the member answered was sent.
func (m *Member) LastAlive() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.health.LastSuccess()
}

// Doubtful reports whether the newest exchange with the member failed, or it is
// silent for longer than it usually is.
func (m *Member) Doubtful(now time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.health.Suspect(now)
}

// expireDoubt ends a doubt for which there is no newer evidence.
func (m *Member) expireDoubt(now time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.health.ExpireEvidence(now)
}

// refusing reports whether the member's machine refused the newest connection.
func (m *Member) refusing() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.health.Refusing()
}

// resumed notes that this host itself stood still until now.
func (m *Member) resumed(now time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.health.Resumed(now)
}

// Failing reports whether the newest exchange with the member failed.
func (m *Member) Failing() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.health.Failing()
}
