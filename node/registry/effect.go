package registry

// effect is what one change of the store means to a host. Load pattern: 300 hosts
// start and register, take the locks of their services, and report a dead primary
// to each other, hundreds of changes within seconds, each told to every host. Only
// those that may move statements have routing worked out anew, which takes a
// millisecond of hosts that have a fifth of a core.
type effect uint8

// The effects, the least first.
const (
	// nothingNew is what this host knew already: an entry that is written again
	// unchanged.
	nothingNew effect = iota
	// noted is for those who look for themselves: a lock, a report of a dead
	// primary, an entry that is in doubt.
	noted
	// rerouted may change where statements go: hosts, members, configuration.
	rerouted
)
