package soak

import "time"

// regression is a plan that once broke a promise.
type regression struct {
	name string
	seed uint64
	// plan is cut down to the faults that it took.
	plan []Event
}

// regressions holds the plans that once failed, each with its cause.
var regressions = []regression{
	// Seeds 3003, 3010 and 4006: of two crashes of one member that overlapped, the
	// end of the second one started it anew although it was up, and its address
	// was in use. A fault of the stand-in.
	{name: "crashes of one member overlap", seed: 4006, plan: []Event{
		{At: 500 * time.Millisecond, Kind: CrashMember, Target: 1, For: time.Second},
		{At: time.Second, Kind: CrashMember, Target: 1, For: time.Second},
	}},
}
