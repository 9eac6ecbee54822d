package soak

import "time"

// regression is a plan that once broke a promise.
type regression struct {
	name string
	seed uint64
	// size is the deployment's where it matters.
	size size
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
	// No seed: patterns of the users' letter. A host that kept the connections, the
	// lead or the positions of a member's earlier life fails them.
	{name: "members start again empty under their ids", seed: 1, plan: []Event{
		{At: 300 * time.Millisecond, Kind: EmptyMember, Target: 0, For: 300 * time.Millisecond},
		{At: 900 * time.Millisecond, Kind: EmptyMember, Target: 0, For: 300 * time.Millisecond},
		{At: 1500 * time.Millisecond, Kind: EmptyPrimary, Target: 1, For: 200 * time.Millisecond},
		{At: 1600 * time.Millisecond, Kind: ForeignEntry, Target: 3, For: time.Second},
	}},
	// Seed 8005: hosts that start beside a silent store join while a team is over its
	// limit; each took it over with a burst that the counter before had granted.
	{name: "hosts that join count a team that is over its limit", seed: 8005, size: size{hosts: 6, callers: 24, groups: 2}, plan: []Event{
		{At: 888 * time.Millisecond, Kind: StopHost, Target: 39400, For: 2603 * time.Millisecond},
		{At: 1089 * time.Millisecond, Kind: StopHost, Target: 62763, For: 2419 * time.Millisecond},
		{At: 2764 * time.Millisecond, Kind: StoreSilent, Target: 46830, For: 3731 * time.Millisecond},
		{At: 10 * time.Second, Kind: ReloadHost, Target: 0, For: time.Second},
	}},
	// No seed: the incident of hosts that were ahead of their relays, and what else a
	// store that returns from an older copy may bring back.
	{name: "the store returns from older copies", seed: 2, plan: []Event{
		{At: 300 * time.Millisecond, Kind: RestoreStore, Target: 0, For: 1500 * time.Millisecond},
		{At: 600 * time.Millisecond, Kind: ChangeConfig, Target: 0, For: time.Second},
		{At: 900 * time.Millisecond, Kind: KillHost, Target: 2, For: time.Second},
		{At: 2200 * time.Millisecond, Kind: CrashPrimary, Target: 0, For: time.Second},
		{At: 2600 * time.Millisecond, Kind: ChangeConfig, Target: 0, For: time.Second},
		{At: 4 * time.Second, Kind: RestoreStore, Target: 0, For: time.Second},
		{At: 4200 * time.Millisecond, Kind: StopHost, Target: 1, For: time.Second},
	}},
	// Seed 7001: a statement of a team without anything left waited for an answer that
	// nobody was asked for, and was cut with the host that stopped.
	{name: "a team is over its limit while hosts stop", seed: 7001, plan: []Event{
		{At: 600 * time.Millisecond, Kind: StopHost, Target: 38321, For: time.Second},
		{At: 1200 * time.Millisecond, Kind: StopHost, Target: 31719, For: time.Second},
		{At: 1900 * time.Millisecond, Kind: StopHost, Target: 11869, For: time.Second},
	}},
}
