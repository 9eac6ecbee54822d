package health

import "time"

const (
	// initialBackoff is how long a gate that failed a call is not used. The backoff
	// doubles with each further failure, up to maxBackoff, because each retry costs a
	// caller the time of a dial.
	initialBackoff = 400 * time.Millisecond
	maxBackoff     = 5 * time.Second
	// GateSilenceTimeout is how long a gate with outstanding calls may stay silent
	// before new statements are sent to another gate. It is below the statement
	// timeout, so that statements do not queue behind a frozen or partitioned host.
	GateSilenceTimeout = 250 * time.Millisecond
	// GateProbeDelay is how long a gate with outstanding calls may stay silent before
	// it is sent a liveness probe (one datagram). It leaves a read enough of a 500 ms
	// latency objective to run on another gate. Nine of ten statements are answered
	// within it.
	GateProbeDelay = 150 * time.Millisecond
	// GateLostTimeout is how long a gate may be silent before the host stops waiting
	// for statements that cannot be repeated on another gate. It is longer than most
	// process pauses and leaves callers time to restart a transaction.
	GateLostTimeout = 2 * time.Second
)

// GateDetector tracks the liveness of gates by address. It is not safe for concurrent
// use.
type GateDetector struct {
	byAddress map[string]*gateState
}

type gateState struct {
	outstanding int
	// silentSince is the time of the latest answer or of the start of the oldest
	// outstanding call, whichever is later.
	silentSince time.Duration
	// backoff is the length of the latest backoff, which ends at backoffUntil; both are
	// zero after an answered call.
	backoffUntil, backoff time.Duration
}

func (d *GateDetector) state(address string) *gateState {
	if d.byAddress == nil {
		d.byAddress = map[string]*gateState{}
	}
	st, found := d.byAddress[address]
	if !found {
		st = &gateState{}
		d.byAddress[address] = st
	}
	return st
}

// CallStarted records the start of a call to a gate.
func (d *GateDetector) CallStarted(address string, now time.Duration) {
	st := d.state(address)
	if st.outstanding == 0 {
		st.silentSince = now
	}
	st.outstanding++
}

// CallEnded records the end of a call and whether the gate answered it.
func (d *GateDetector) CallEnded(address string, answered bool, now time.Duration) {
	st := d.state(address)
	st.outstanding--
	if answered {
		st.silentSince, st.backoffUntil, st.backoff = now, 0, 0
		return
	}
	if now < st.backoffUntil {
		return
	}
	st.backoff = min(max(2*st.backoff, initialBackoff), maxBackoff)
	st.backoffUntil = now + st.backoff
}

// ProbeAnswered records that the gate answered a liveness probe.
func (d *GateDetector) ProbeAnswered(address string, now time.Duration) {
	st := d.state(address)
	st.silentSince = max(st.silentSince, now)
}

// Silent reports whether calls to the gate are outstanding and it has answered
// nothing for longer than GateSilenceTimeout.
func (d *GateDetector) Silent(address string, now time.Duration) bool {
	st, found := d.byAddress[address]
	return found && st.outstanding > 0 && now-st.silentSince > GateSilenceTimeout
}

// ProbeDue reports whether a liveness probe should be sent to the gate.
func (d *GateDetector) ProbeDue(address string, now time.Duration) bool {
	st, found := d.byAddress[address]
	return found && st.outstanding > 0 && now-st.silentSince >= GateProbeDelay
}

// Lost reports whether calls to the gate are outstanding and it has answered
// nothing for longer than GateLostTimeout.
func (d *GateDetector) Lost(address string, now time.Duration) bool {
	st, found := d.byAddress[address]
	return found && st.outstanding > 0 && now-st.silentSince > GateLostTimeout
}

// Usable reports whether the gate is neither silent nor in backoff.
func (d *GateDetector) Usable(address string, now time.Duration) bool {
	st, found := d.byAddress[address]
	return !found || (!d.Silent(address, now) && now >= st.backoffUntil)
}
