package quota

import (
	"math"
	"time"
)

// Limit bounds the operations of one team over all hosts. The zero value means
// unlimited.
type Limit struct {
	// Bounded is set if there is a limit.
	Bounded bool
	// Rate is the sustained number of operations per second, and Burst the number of
	// operations that may run at once on top of it.
	Rate, Burst float64
}

// Tolerance is how far a team may exceed its limit: in any Window by the given Share of
// what the limit allows in it, plus a fixed number of Operations.
type Tolerance struct {
	Window     time.Duration
	Share      float64
	Operations float64
}

// unconfirmedShare is the share of the tolerance that is reserved for operations that
// run before they are granted. The counters grant the rest.
const unconfirmedShare = 0.1

// defaultWindow applies if the platform configures no window.
const defaultWindow = 5 * time.Second

// WithDefaults returns the tolerance with the default window if none is set.
func (t Tolerance) WithDefaults() Tolerance {
	if t.Window <= 0 {
		t.Window = defaultWindow
	}
	return t
}

// allowed returns how many operations the limit itself allows in any window.
func (t Tolerance) allowed(l Limit) float64 { return l.Rate*t.Window.Seconds() + l.Burst }

// toleratedExcess returns how many operations beyond the limit may run in any window.
func (t Tolerance) toleratedExcess(l Limit) float64 { return t.Share*t.allowed(l) + t.Operations }

// maxUnconfirmed returns how many operations all hosts together may run before a
// counter has responded.
func (t Tolerance) maxUnconfirmed(l Limit) int {
	return int(math.Floor(unconfirmedShare * t.toleratedExcess(l)))
}

// grantable returns how many operations the counters together may grant in any window.
func (t Tolerance) grantable(l Limit) float64 { return t.grantableOf(l, EvenAllotment(1)) }

// grantableOf returns how many operations a counter may grant in any window.
func (t Tolerance) grantableOf(l Limit, a Allotment) float64 {
	return a.Limit*t.allowed(l) + a.Excess*t.toleratedExcess(l)
}
