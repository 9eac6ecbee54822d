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
	// Seeds 3003 and 3010: a crashed member of the stand-in could not start again,
	// because an outgoing connection had been given its port. Its addresses lie
	// outside of those ports now (standin/loopback).
	{name: "member starts again at its address", seed: 3003, plan: []Event{
		{At: 500 * time.Millisecond, Kind: CrashMember, Target: 1, For: time.Second},
		{At: time.Second, Kind: CrashMember, Target: 2, For: 2 * time.Second},
	}},
}
