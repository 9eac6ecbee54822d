package registry

// effect says what has to be updated after a change of the store. When a fleet starts,
// hundreds of changes arrive within seconds; recomputing the routing for each of them
// would take too much CPU time.
type effect uint8

// The effects, the weakest first.
const (
	// noEffect is an entry that was written again without changes.
	noEffect effect = iota
	// stateChanged is a change that is sent to followers and otherwise read on demand:
	// a lock, a suspicion, an entry with a disputed start time.
	stateChanged
	// routingChanged is a change of hosts, members or configuration, which may change
	// the routing of statements.
	routingChanged
)
