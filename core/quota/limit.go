package quota

import (
	"math"
	"time"
)

// Limit bounds the operations of one team over all hosts. The zero value is no
// limit.
type Limit struct {
	// Bounded tells that there is a limit at all.
	Bounded bool
	// Rate is how many operations a second the team may run in the long run, and
	// Burst how many more at once.
	Rate, Burst float64
}

// Tolerance is by how much a team may exceed its limit: in any Window by the
// given share of what the limit allows in it, and by a number of operations.
type Tolerance struct {
	Window     time.Duration
	Share      float64
	Operations float64
}

// unconfirmedPart is the part of the tolerance for operations that run before they are
// granted. What is refused within the tolerance is lost service, so the rest is granted.
const unconfirmedPart = 0.1

// defaultWindow is the window where the platform names none.
const defaultWindow = 5 * time.Second

// WithDefaults returns the tolerance with a window that can be counted in.
func (t Tolerance) WithDefaults() Tolerance {
	if t.Window <= 0 {
		t.Window = defaultWindow
	}
	return t
}

// allowed returns how many operations the limit itself allows in any window.
func (t Tolerance) allowed(l Limit) float64 { return l.Rate*t.Window.Seconds() + l.Burst }

// tolerated returns how many more may run.
func (t Tolerance) tolerated(l Limit) float64 { return t.Share*t.allowed(l) + t.Operations }

// unconfirmed returns how many operations all hosts together may run before a counter
// has answered.
func (t Tolerance) unconfirmed(l Limit) int { return int(math.Floor(unconfirmedPart * t.tolerated(l))) }

// counted returns how many operations the counters grant in any window.
func (t Tolerance) counted(l Limit) float64 { return t.allowed(l) + (1-unconfirmedPart)*t.tolerated(l) }
