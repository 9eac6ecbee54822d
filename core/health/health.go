// Package health implements failure detectors for database members and gates, based
// on the host's own exchanges with them. Package core/gates defines gates.
package health

import "time"

const (
	// RefusedTimeout is how long a member must refuse connections to count as dead.
	// A refusal proves that nothing listens on the port, so the timeout only has to
	// cover a restart of the listener.
	RefusedTimeout = 100 * time.Millisecond
	// BrokenTimeout replaces RefusedTimeout if some of the failures are broken
	// connections: a member that is up may reset all of them at once.
	BrokenTimeout = 250 * time.Millisecond
	// MaxSilenceTimeout is how long a member must be silent to count as dead; a
	// timeout derived from its recent pauses may be shorter. It exceeds the queueing
	// delay of a member under full load.
	MaxSilenceTimeout = 1200 * time.Millisecond
	// CorroboratedSilenceTimeout replaces MaxSilenceTimeout after an exchange that
	// timed out, if another host has reported the member dead. It covers one
	// connection attempt.
	CorroboratedSilenceTimeout = 500 * time.Millisecond
	// minFailures is the number of consecutive refused or broken connections needed
	// to declare a member dead, since a single packet may be lost.
	minFailures = 2
	// minUnanswered is the number of unanswered requests needed to declare a member
	// dead.
	minUnanswered = 2
	// EvidenceTTL is how long a failed exchange counts if no other one follows. It is
	// longer than the statement timeout.
	EvidenceTTL = 2 * time.Second
)

// MemberDetector is the failure detector for one member. It is not safe for
// concurrent use. Times are read from a clock that includes suspended time.
type MemberDetector struct {
	// TimeoutsOnly disables silence detection: only failed exchanges count.
	TimeoutsOnly bool
	// lastSuccess is the send time of the latest exchange that succeeded.
	lastSuccess time.Duration
	failing     bool
	failedSince time.Duration
	refusals    int
	disconnects int
	timeouts    int
	silence     silenceDetector
	// lastExchange is the start time of the latest exchange.
	lastExchange time.Duration
}

// RequestSent records a request that the member should answer.
func (d *MemberDetector) RequestSent(now time.Duration) {
	d.lastExchange = max(d.lastExchange, now)
	d.silence.requestSent(now, false)
}

// DialStarted records the start of a connection attempt.
func (d *MemberDetector) DialStarted(now time.Duration) {
	d.lastExchange = max(d.lastExchange, now)
	d.silence.requestSent(now, true)
}

// ExpireEvidence drops failures and unanswered requests once the latest exchange is
// older than EvidenceTTL. It is for hosts that reach the member only through gates:
// without it, a failed connection attempt would keep the member suspect forever, as
// no later exchange clears it, and the host would go on asking the holder of the
// promotion lock about it.
func (d *MemberDetector) ExpireEvidence(now time.Duration) {
	if now-d.lastExchange < EvidenceTTL {
		return
	}
	d.clearFailures()
	d.silence.reset(now)
}

// DialSucceeded records that a connection attempt succeeded and that the login
// request was sent.
func (d *MemberDetector) DialSucceeded(now time.Duration) {
	d.silence.dialSucceeded()
	d.refusals = 0
	d.silence.requestSent(now, false)
}

// ResponseReceived records a full or partial response to a request sent at the given
// time.
func (d *MemberDetector) ResponseReceived(sent, now time.Duration) {
	d.silence.responseReceived(now)
	d.ExchangeSucceeded(sent)
}

// ExchangeSucceeded records a successful exchange that began at the given time. It
// does not clear failures of exchanges that began later.
func (d *MemberDetector) ExchangeSucceeded(sent time.Duration) {
	d.lastSuccess = max(d.lastSuccess, sent)
	if d.failing && sent >= d.failedSince {
		d.clearFailures()
	}
}

func (d *MemberDetector) clearFailures() {
	d.failing, d.failedSince = false, 0
	d.refusals, d.disconnects, d.timeouts = 0, 0, 0
}

// ConnectionRefused records that the member's machine refused a connection attempt
// made at the given time.
func (d *MemberDetector) ConnectionRefused(sent, now time.Duration) {
	d.silence.responseReceived(now)
	d.recordFailure(sent)
	d.refusals++
}

// ConnectionBroken records that a connection broke before a request sent at the given
// time was answered.
func (d *MemberDetector) ConnectionBroken(sent, now time.Duration) {
	d.silence.responseReceived(now)
	d.recordFailure(sent)
	d.disconnects++
}

// ProbeAccepted records that the member's machine accepted a connection that was
// opened only as a probe.
func (d *MemberDetector) ProbeAccepted() {
	d.silence.dialSucceeded()
	d.refusals = 0
}

// ExchangeTimedOut records that a request sent at the given time timed out.
func (d *MemberDetector) ExchangeTimedOut(sent time.Duration) {
	d.recordFailure(sent)
	d.timeouts++
}

func (d *MemberDetector) recordFailure(sent time.Duration) {
	d.lastExchange = max(d.lastExchange, sent)
	if sent < d.lastSuccess || d.failing {
		return
	}
	d.failing, d.failedSince = true, sent
	d.refusals, d.disconnects, d.timeouts = 0, 0, 0
}

// Resumed records that this process was suspended until now, so that the time it was
// suspended does not count as silence of the member.
func (d *MemberDetector) Resumed(now time.Duration) {
	d.silence.resumed(now)
	if d.failing {
		d.failedSince = max(d.failedSince, now)
	}
}

// Suspect reports whether the member should be probed: its latest exchange failed, or
// it has been silent for longer than its recent pauses.
func (d *MemberDetector) Suspect(now time.Duration) bool {
	return d.failing || !d.TimeoutsOnly && d.silence.suspect(now)
}

// Failing reports whether an exchange failed and none that began later succeeded.
func (d *MemberDetector) Failing() bool { return d.failing }

// Refusing reports whether the member is failing and has refused a connection since
// the last one that it accepted.
func (d *MemberDetector) Refusing() bool { return d.failing && d.refusals > 0 }

// LastSuccess returns the send time of the latest exchange that succeeded.
func (d *MemberDetector) LastSuccess() time.Duration { return d.lastSuccess }

// Dead reports whether the member is considered dead. The corroborated flag means
// that another host has reported it dead, which shortens the timeout.
func (d *MemberDetector) Dead(now time.Duration, corroborated bool) bool {
	if !d.TimeoutsOnly && d.silence.dead(now) {
		return true
	}
	if !d.failing {
		return false
	}
	failingFor := now - d.failedSince
	if d.refusals >= minFailures && failingFor >= RefusedTimeout {
		return true
	}
	if d.refusals+d.disconnects >= minFailures && failingFor >= BrokenTimeout {
		return true
	}
	timeout := MaxSilenceTimeout
	if corroborated {
		timeout = CorroboratedSilenceTimeout
	}
	return d.timeouts > 0 && failingFor >= timeout
}
