package replicaset

import (
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/feature"
	"github.com/dotterelswitch/dotterelswitch/core/statement"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
	"github.com/dotterelswitch/dotterelswitch/node/eventlog"
)

// responseReceived records an answer to a request sent at the given time, and its position.
func (m *Member) responseReceived(sent, now time.Duration, a statement.Answer, kind string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.health.ResponseReceived(sent, now)
	m.setPosition(a.Position, now)
	if a.Signature != "" {
		m.pool.ObserveResponse(now - sent)
		m.executionTimes.Observe(kind, now-sent, now)
		m.responseTime += time.Duration(responseTimeSmoothing * float64(now-sent-m.responseTime))
	}
}

// bytesReceived records data of the member that came after the answer to a request sent at
// the given time.
func (m *Member) bytesReceived(sent time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.health.ResponseReceived(sent, clock.Now())
}

// requestSent records a request that the member should answer.
func (m *Member) requestSent(now time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.health.RequestSent(now)
}

// dialStarted records a connection attempt.
func (m *Member) dialStarted(now time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.health.DialStarted(now)
}

// dialSucceeded records that the connection is established and the login is
// being sent.
func (m *Member) dialSucceeded(now time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.health.DialSucceeded(now)
}

// probeAccepted records that the member's machine accepted a connection.
func (m *Member) probeAccepted() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.health.ProbeAccepted()
}

// exchangeFailed records a request or connection attempt that got no answer.
func (m *Member) exchangeFailed(sent time.Duration, kind failureKind) {
	m.mu.Lock()
	wasFailing := m.health.Failing()
	switch kind {
	case failureTimeout:
		m.health.ExchangeTimedOut(sent)
	case failureRefused:
		m.health.ConnectionRefused(sent, clock.Now())
	default:
		m.health.ConnectionBroken(sent, clock.Now())
	}
	isFailing := m.health.Failing()
	m.mu.Unlock()
	m.set.ObserveUnreachable(m)
	if isFailing && !wasFailing {
		eventlog.UpstreamSuspected.Warn(m.log).Bool("silent", kind == failureTimeout).Send()
		m.set.requestProbe()
		m.set.notifySuspect()
	}
}

// Dead reports whether this host considers the member dead.
func (m *Member) Dead(now time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return now < m.wrongMemberUntil || m.health.Dead(now, m.confirmedByPeers)
}

// SetConfirmedByPeers records whether another host also considers the member dead.
func (m *Member) SetConfirmedByPeers(confirmed bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.confirmedByPeers = confirmed
}

// gateReportTTL is how long a gate's report of a dead member is valid. It is
// slightly longer than probeInterval.
const gateReportTTL = 300 * time.Millisecond

// recordReportedDead records that a gate considers the member dead. This affects
// only the routing of statements: reports to other hosts require this host's own
// evidence.
func (m *Member) recordReportedDead(now time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reportedDeadUntil = now + gateReportTTL
}

// unreachable reports whether the member probably cannot be reached, neither from
// this host nor through an alternate host.
func (m *Member) unreachable(now time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if now < m.wrongMemberUntil {
		return true
	}
	switch {
	case m.health.Dead(now, m.confirmedByPeers):
		return now >= m.alternateHostsUntil
	case now < m.reportedDeadUntil:
		return !m.recentlyReached(now)
	}
	return false
}

// recentContactWindow is the maximum age of a member's latest answer for the member
// to count as reachable from this host.
const recentContactWindow = time.Second

// recentlyReached reports whether the member has recently answered this host.
// It is called with mu held.
func (m *Member) recentlyReached(now time.Duration) bool {
	last := m.health.LastSuccess()
	return last > 0 && now-last < recentContactWindow
}

// Reachable reports whether the member has recently answered this host and is
// not considered dead.
func (m *Member) Reachable(now time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.recentlyReached(now) && !m.health.Dead(now, m.confirmedByPeers)
}

// route returns the hosts to send a team's statement to, in order of
// preference; none for this host itself.
func (m *Member) route(team string, now time.Duration) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.routeOf(team, now)
}

// routeOf is route, called with mu held.
func (m *Member) routeOf(team string, now time.Duration) []string {
	switch {
	case m.health.Dead(now, m.confirmedByPeers) && now < m.alternateHostsUntil:
		return m.alternateHosts
	case now < m.reportedDeadUntil && m.recentlyReached(now):
		return nil
	case team != "" && m.set.features.Enabled(feature.TeamGates):
		return m.share.GateRoute(team, m.id, m.set.host)
	}
	return m.share.GateAddresses
}

// alternateHostsTTL is how long a list of alternate hosts is valid. It spans
// several rounds of requests to the other hosts.
const alternateHostsTTL = 500 * time.Millisecond

// SetAlternateHosts records which other hosts can reach a member that this one
// cannot. They run statements for that member meanwhile.
func (s *Set) SetAlternateHosts(member string, hosts []string, now time.Duration) {
	m, known := s.Member(member)
	if !known || len(hosts) == 0 {
		return
	}
	m.mu.Lock()
	expired := now >= m.alternateHostsUntil
	m.alternateHosts, m.alternateHostsUntil = hosts, now+alternateHostsTTL
	m.mu.Unlock()
	if expired {
		eventlog.DetourTaken.Info(m.log).Strs("hosts", hosts).Send()
	}
}

// LastSuccess returns the send time of the latest request that the member
// answered.
func (m *Member) LastSuccess() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.health.LastSuccess()
}

// Suspect reports whether the latest exchange with the member failed or the
// member has been silent for unusually long.
func (m *Member) Suspect(now time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.health.Suspect(now)
}

// expireEvidence clears a suspicion that has no recent evidence.
func (m *Member) expireEvidence(now time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.health.ExpireEvidence(now)
}

// refusing reports whether the member's machine refused the latest connection.
func (m *Member) refusing() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.health.Refusing()
}

// resumed records that this process was suspended until now.
func (m *Member) resumed(now time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.health.Resumed(now)
}

// Failing reports whether the latest exchange with the member failed.
func (m *Member) Failing() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.health.Failing()
}
