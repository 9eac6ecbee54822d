// Package health judges from a host's own exchanges whether a member is dead.
package health

import "time"

const (
	// RefusedFor is how long a member must refuse connections to count as dead.
	// A refusal is an answer of its machine that nothing listens, so little more
	// than a restart of the listener has to be ruled out, and more than half of
	// the voters must have found the same.
	RefusedFor = 100 * time.Millisecond
	// BrokenFor is the same where some of the failures are connections that broke:
	// a member that is up may reset them all at once.
	BrokenFor = 250 * time.Millisecond
	// SilentFor is the longest silence that it takes for a member to count as dead,
	// however long its pauses usually are. It is several times the longest queue of
	// a member under full load.
	SilentFor = 1200 * time.Millisecond
	// SilentWithOthers is how long silence must last, after an exchange that was
	// given up, for a host that another one has told that the member is dead: one
	// connection attempt.
	SilentWithOthers = 500 * time.Millisecond
	// failuresToBelieve is how many refusals in a row it takes, and
	// asksToBelieve how many exchanges without an answer: one may be lost.
	failuresToBelieve = 2
	asksToBelieve     = 2
	// EvidenceLasts is how long a failed exchange counts on a host that has no
	// reason for another one: longer than the longest time of a statement.
	EvidenceLasts = 2 * time.Second
)

// Health is the evidence on one member. It is not safe for concurrent use.
// Times are on a clock that also counts suspended time.
type Health struct {
	// TimeoutsOnly leaves silence out that is not the end of an exchange's time.
	TimeoutsOnly bool
	// lastSuccess is when the newest exchange that succeeded was sent.
	lastSuccess time.Duration
	failing     bool
	failedSince time.Duration
	refusals    int
	breaks      int
	silences    int
	quiet       quiet
	// newest is when the newest exchange began.
	newest time.Duration
}

// Asked notes that something was sent to the member that it should answer.
func (h *Health) Asked(now time.Duration) {
	h.newest = max(h.newest, now)
	h.quiet.asked(now, false)
}

// Dialled notes that a connection to the member is tried.
func (h *Health) Dialled(now time.Duration) {
	h.newest = max(h.newest, now)
	h.quiet.asked(now, true)
}

// Expire forgets what failed or stayed unanswered when the newest exchange is
// EvidenceLasts old. It is for a host that sends its statements through others and
// does not judge the member: nothing else would end its doubt.
//
// Load pattern: all hosts start again, and those that do not know each other yet
// open connections to members that have none to spare. 49 of 295 hosts doubted a
// primary for good after that. They asked the holder of the promotion lock about
// it, which asked the voters: 2,180 datagrams a second for as long as they ran,
// counted from the hosts' logs, and a probe of each such primary every 33 ms.
func (h *Health) Expire(now time.Duration) {
	if now-h.newest < EvidenceLasts {
		return
	}
	h.forgetFailures()
	h.quiet.forget(now)
}

// Connected notes that a connection that was tried stands, and that the member is
// asked for its login.
func (h *Health) Connected(now time.Duration) {
	h.quiet.connected()
	h.refusals = 0
	h.quiet.asked(now, false)
}

// Answered notes an answer, or a part of one, to something sent at the given
// time.
func (h *Health) Answered(sent, now time.Duration) {
	h.quiet.answered(now)
	h.Succeeded(sent)
}

// Succeeded notes an answer to something sent at the given time.
func (h *Health) Succeeded(sent time.Duration) {
	h.lastSuccess = max(h.lastSuccess, sent)
	if h.failing && sent >= h.failedSince {
		h.forgetFailures()
	}
}

func (h *Health) forgetFailures() {
	h.failing, h.failedSince = false, 0
	h.refusals, h.breaks, h.silences = 0, 0, 0
}

// Refused notes that the member's machine refused a connection tried at the
// given time.
func (h *Health) Refused(sent, now time.Duration) {
	h.quiet.answered(now)
	h.fail(sent)
	h.refusals++
}

// Broken notes that a connection broke before something sent at the given time
// was answered.
func (h *Health) Broken(sent, now time.Duration) {
	h.quiet.answered(now)
	h.fail(sent)
	h.breaks++
}

// Listens notes that the member's machine took a connection that was only to try
// it.
func (h *Health) Listens() {
	h.quiet.connected()
	h.refusals = 0
}

// Silent notes that something sent at the given time was given up.
func (h *Health) Silent(sent time.Duration) {
	h.fail(sent)
	h.silences++
}

func (h *Health) fail(sent time.Duration) {
	h.newest = max(h.newest, sent)
	if sent < h.lastSuccess || h.failing {
		return
	}
	h.failing, h.failedSince = true, sent
	h.refusals, h.breaks, h.silences = 0, 0, 0
}

// Resumed notes that this host itself stood still until now: what it could not
// hear meanwhile is no evidence.
func (h *Health) Resumed(now time.Duration) {
	h.quiet.resumed(now)
	if h.failing {
		h.failedSince = max(h.failedSince, now)
	}
}

// Doubtful reports whether the newest exchange failed, or the member is silent
// for longer than answers usually take: it should be probed.
func (h *Health) Doubtful(now time.Duration) bool {
	return h.failing || !h.TimeoutsOnly && h.quiet.doubtful(now)
}

// Failing reports whether the newest exchange failed.
func (h *Health) Failing() bool { return h.failing }

// Refusing reports whether the member's machine refused the newest connection.
func (h *Health) Refusing() bool { return h.failing && h.refusals > 0 }

// LastSuccess returns when the newest exchange that succeeded was sent.
func (h *Health) LastSuccess() time.Duration { return h.lastSuccess }

// Dead reports whether the evidence is enough to call the member dead.
// Corroborated tells that another host has called it dead.
func (h *Health) Dead(now time.Duration, corroborated bool) bool {
	if !h.TimeoutsOnly && h.quiet.dead(now) {
		return true
	}
	if !h.failing {
		return false
	}
	since := now - h.failedSince
	if h.refusals >= failuresToBelieve && since >= RefusedFor {
		return true
	}
	if h.refusals+h.breaks >= failuresToBelieve && since >= BrokenFor {
		return true
	}
	enough := SilentFor
	if corroborated {
		enough = SilentWithOthers
	}
	return h.silences > 0 && since >= enough
}
