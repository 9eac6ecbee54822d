package registry

// effect is what one change of the store means to a host. Load pattern: every
// member rewrites its entry with each heartbeat, 50 times a second for 60
// members, and hardly ever to say anything new. A host that worked out its
// routing for each of them, and a relay that passed each on, spent more
// processor time on heartbeats than on callers.
type effect uint8

// The effects, the least first.
const (
	// nothingNew is a heartbeat, or what this host knew already.
	nothingNew effect = iota
	// noted is for those who look for themselves: a lock, a report of a dead
	// primary, an entry that is in doubt.
	noted
	// rerouted may change where statements go: hosts, members, configuration.
	rerouted
)
