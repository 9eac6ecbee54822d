// Package health judges from a host's own exchanges whether a member is dead.
package health

import "time"

const (
	// RefusedFor is how long a member must refuse connections to count as dead.
	// A refusal is an answer of its machine that nothing listens, so little
	// more than a restart of the listener has to be ruled out.
	RefusedFor = 250 * time.Millisecond
	// SilentFor is how long a member must be silent to count as dead. It is
	// several times the longest queue of a member under full load.
	SilentFor = 1200 * time.Millisecond
	// SilentWithOthers is how long silence must last for a host that another one
	// has told that the member is dead: one connection attempt.
	SilentWithOthers = 500 * time.Millisecond
	// refusalsToBelieve is how many refusals in a row it takes.
	refusalsToBelieve = 2
)

// Health is the evidence on one member. It is not safe for concurrent use.
// Times are on a clock that also counts suspended time.
type Health struct {
	// lastSuccess is when the newest exchange that succeeded was sent.
	lastSuccess time.Duration
	failing     bool
	failedSince time.Duration
	refusals    int
	silences    int
}

// Succeeded notes an answer to something sent at the given time.
func (h *Health) Succeeded(sent time.Duration) {
	h.lastSuccess = max(h.lastSuccess, sent)
	if h.failing && sent >= h.failedSince {
		*h = Health{lastSuccess: h.lastSuccess}
	}
}

// Refused notes that the member's machine refused a connection tried at the
// given time, or reset one.
func (h *Health) Refused(sent time.Duration) {
	h.fail(sent)
	h.refusals++
}

// Silent notes that something sent at the given time got no answer.
func (h *Health) Silent(sent time.Duration) {
	h.fail(sent)
	h.silences++
}

func (h *Health) fail(sent time.Duration) {
	if sent < h.lastSuccess || h.failing {
		return
	}
	h.failing, h.failedSince = true, sent
	h.refusals, h.silences = 0, 0
}

// LastSuccess returns when the newest exchange that succeeded was sent.
func (h *Health) LastSuccess() time.Duration { return h.lastSuccess }

// Failing reports whether the newest exchange failed.
func (h *Health) Failing() bool { return h.failing }

// Since returns when the first of the failed exchanges was sent.
func (h *Health) Since() time.Duration { return h.failedSince }

// Dead reports whether the evidence is enough to call the member dead.
// Corroborated tells that another host has called it dead.
func (h *Health) Dead(now time.Duration, corroborated bool) bool {
	if !h.failing {
		return false
	}
	if h.refusals >= refusalsToBelieve && now-h.failedSince >= RefusedFor {
		return true
	}
	enough := SilentFor
	if corroborated {
		enough = SilentWithOthers
	}
	return h.silences > 0 && now-h.failedSince >= enough
}
