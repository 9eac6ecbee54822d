package health

import "time"

// A gate that failed a call is passed over: at first for about the time in
// which a process restarts, then for longer each time, because each try costs a
// caller the time of a dial.
const (
	avoidFirst = 400 * time.Millisecond
	avoidMax   = 5 * time.Second
	// SilentGate is how long a gate may have calls outstanding without answering
	// any. Load pattern: a host freezes, or is cut off, in the middle of traffic;
	// statements that follow should not wait until the first of them times out.
	// One slow statement alone looks the same, and then another gate serves the
	// next just as well.
	SilentGate = 250 * time.Millisecond
	// LookAfter is how long a gate may have calls outstanding without answering any
	// before it is asked for a sign of life, which costs a datagram. Load pattern: the
	// fleet is cut in two, and a host has at most one statement under way on each
	// gate, which shows nothing sooner. Nine of ten statements are answered within it.
	// Looked at after 250 ms, a read came to another gate after 550 ms, when its
	// caller's objective of 500 ms was over; now after 350 ms.
	LookAfter = 150 * time.Millisecond
	// LostGate is how long a gate may be silent before what cannot be run elsewhere
	// is given up as well: most freezes are over by then, and callers that wait for
	// a transaction still have time to begin it again.
	LostGate = 2 * time.Second
)

// Gates is what a host knows of those that run statements for it, by address.
// It is not safe for concurrent use.
type Gates struct {
	byAddress map[string]*gate
}

// gate is what is known of one.
type gate struct {
	outstanding int
	// quietSince is the newest answer, or the start of the oldest call after it.
	quietSince time.Duration
	// avoidUntil and pause are set by failures.
	avoidUntil, pause time.Duration
}

func (g *Gates) get(address string) *gate {
	if g.byAddress == nil {
		g.byAddress = map[string]*gate{}
	}
	x, found := g.byAddress[address]
	if !found {
		x = &gate{}
		g.byAddress[address] = x
	}
	return x
}

// Started notes a call to a gate.
func (g *Gates) Started(address string, now time.Duration) {
	x := g.get(address)
	if x.outstanding == 0 {
		x.quietSince = now
	}
	x.outstanding++
}

// Ended notes the end of a call, and whether the gate answered it.
func (g *Gates) Ended(address string, answered bool, now time.Duration) {
	x := g.get(address)
	x.outstanding--
	if answered {
		x.quietSince, x.avoidUntil, x.pause = now, 0, 0
		return
	}
	if now < x.avoidUntil {
		return
	}
	x.pause = min(max(2*x.pause, avoidFirst), avoidMax)
	x.avoidUntil = now + x.pause
}

// Alive notes that the gate has answered something else than a call.
func (g *Gates) Alive(address string, now time.Duration) {
	x := g.get(address)
	x.quietSince = max(x.quietSince, now)
}

// Silent reports whether calls to the gate are outstanding and it has answered
// nothing for SilentGate.
func (g *Gates) Silent(address string, now time.Duration) bool {
	x, found := g.byAddress[address]
	return found && x.outstanding > 0 && now-x.quietSince > SilentGate
}

// Due reports whether the gate is to be asked for a sign of life.
func (g *Gates) Due(address string, now time.Duration) bool {
	x, found := g.byAddress[address]
	return found && x.outstanding > 0 && now-x.quietSince >= LookAfter
}

// Lost reports whether the gate has been silent for LostGate.
func (g *Gates) Lost(address string, now time.Duration) bool {
	x, found := g.byAddress[address]
	return found && x.outstanding > 0 && now-x.quietSince > LostGate
}

// Usable reports whether a call to the gate is of use now.
func (g *Gates) Usable(address string, now time.Duration) bool {
	x, found := g.byAddress[address]
	return !found || (!g.Silent(address, now) && now >= x.avoidUntil)
}
