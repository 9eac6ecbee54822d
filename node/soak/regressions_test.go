package soak

import "time"

// regression is a plan that exposed a failure.
type regression struct {
	name string
	seed uint64
	// deployment is the zero value where the size does not matter.
	deployment deploymentSize
	// plan has only the faults that are needed for the failure.
	plan []Event
}

var regressions = []regression{
	// The stand-in must not restart a member that is already running again, since its
	// address is in use.
	{name: "overlapping crashes of one member", seed: 4006, plan: []Event{
		{Start: 500 * time.Millisecond, Kind: CrashMember, Target: 1, Duration: time.Second},
		{Start: time.Second, Kind: CrashMember, Target: 1, Duration: time.Second},
	}},
	// Hosts must not keep connections, leadership or positions from a member's earlier
	// incarnation.
	{name: "members restart empty under their ids", seed: 1, plan: []Event{
		{Start: 300 * time.Millisecond, Kind: WipeMember, Target: 0, Duration: 300 * time.Millisecond},
		{Start: 900 * time.Millisecond, Kind: WipeMember, Target: 0, Duration: 300 * time.Millisecond},
		{Start: 1500 * time.Millisecond, Kind: WipePrimary, Target: 1, Duration: 200 * time.Millisecond},
		{Start: 1600 * time.Millisecond, Kind: ForeignEntry, Target: 3, Duration: time.Second},
	}},
	// A host that joins while a team is over its limit must not grant the team its burst
	// again when it takes over the count.
	{name: "hosts join while a team is over its limit", seed: 8005, deployment: deploymentSize{hosts: 6, callers: 24, groups: 2}, plan: []Event{
		{Start: 888 * time.Millisecond, Kind: StopHost, Target: 39400, Duration: 2603 * time.Millisecond},
		{Start: 1089 * time.Millisecond, Kind: StopHost, Target: 62763, Duration: 2419 * time.Millisecond},
		{Start: 2764 * time.Millisecond, Kind: StoreSilent, Target: 46830, Duration: 3731 * time.Millisecond},
		{Start: 10 * time.Second, Kind: ReloadHost, Target: 0, Duration: time.Second},
	}},
	// Hosts must recover when the store is restored from an older copy, also while they
	// are ahead of their relays.
	{name: "store restored from older copies", seed: 2, plan: []Event{
		{Start: 300 * time.Millisecond, Kind: RestoreStore, Target: 0, Duration: 1500 * time.Millisecond},
		{Start: 600 * time.Millisecond, Kind: ChangeConfig, Target: 0, Duration: time.Second},
		{Start: 900 * time.Millisecond, Kind: KillHost, Target: 2, Duration: time.Second},
		{Start: 2200 * time.Millisecond, Kind: CrashPrimary, Target: 0, Duration: time.Second},
		{Start: 2600 * time.Millisecond, Kind: ChangeConfig, Target: 0, Duration: time.Second},
		{Start: 4 * time.Second, Kind: RestoreStore, Target: 0, Duration: time.Second},
		{Start: 4200 * time.Millisecond, Kind: StopHost, Target: 1, Duration: time.Second},
	}},
	// A statement of a team without remaining quota must not wait for a grant that
	// nobody requested, since the host's stop would then interrupt it.
	{name: "hosts stop while a team is over its limit", seed: 7001, plan: []Event{
		{Start: 600 * time.Millisecond, Kind: StopHost, Target: 38321, Duration: time.Second},
		{Start: 1200 * time.Millisecond, Kind: StopHost, Target: 31719, Duration: time.Second},
		{Start: 1900 * time.Millisecond, Kind: StopHost, Target: 11869, Duration: time.Second},
	}},
	// An answer that a member repeats must not be taken for that of another statement, nor its
	// position, state or role for the member's present ones: hosts declared that the primary
	// had lost its log, and writes ran twice.
	{name: "members repeat and cut their answers", seed: 69, plan: []Event{
		{Start: 300 * time.Millisecond, Kind: RepeatAnswers, Target: 2, Duration: 2 * time.Second},
		{Start: 700 * time.Millisecond, Kind: RepeatRefusals, Target: 2, Duration: 2500 * time.Millisecond},
		{Start: 1500 * time.Millisecond, Kind: CutAnswers, Target: 0, Duration: 2 * time.Second},
		{Start: 2400 * time.Millisecond, Kind: RepeatAnswers, Target: 4, Duration: 1500 * time.Millisecond},
	}},
}
