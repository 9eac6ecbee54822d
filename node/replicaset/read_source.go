package replicaset

// ReadSource says where a read was served and, for the primary, why.
type ReadSource uint8

const (
	// NotARead: the statement is not a read.
	NotARead ReadSource = iota
	// ByReplica: served by a replica.
	ByReplica
	// PrimaryByRoute: served by the primary because the route requires it.
	PrimaryByRoute
	// PrimaryNoFloor: served by the primary because no floor is known for the read.
	PrimaryNoFloor
	// PrimaryReplicasLagging: served by the primary because no replica has reached
	// the floor.
	PrimaryReplicasLagging
	// PrimaryReplicasSuspect: served by the primary because every replica that has
	// reached the floor is suspected or unregistered.
	PrimaryReplicasSuspect
	// PrimaryFaster: served by the primary because its expected response time is
	// shorter, despite the penalty for reads on the primary.
	PrimaryFaster
)

// readSourceNames are part of the log format.
var readSourceNames = [...]string{"none", "replica", "primary_by_route", "primary_no_floor", "primary_behind", "primary_doubt", "primary_sooner"}

func (s ReadSource) String() string { return readSourceNames[s] }

// AllReadSources returns all sources of reads, so without NotARead.
func AllReadSources() []ReadSource {
	return []ReadSource{ByReplica, PrimaryByRoute, PrimaryNoFloor, PrimaryReplicasLagging, PrimaryReplicasSuspect, PrimaryFaster}
}
