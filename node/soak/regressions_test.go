package soak

// regression is a plan that once broke a promise.
type regression struct {
	name string
	seed uint64
	// plan is cut down to the faults that it took.
	plan []Event
}

// regressions holds the plans that once failed, each with its cause.
var regressions = []regression{}
