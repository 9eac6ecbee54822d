package replicaset

// ReadSource says where a read was served and, for the primary, why.
type ReadSource uint8

const (
	// NoRead stands for steps other than reads.
	NotARead ReadSource = iota
	// ByReplica is a replica.
	ByReplica
	// PrimaryByRoute is the primary because the route requires it.
	PrimaryByRoute
	// PrimaryNoFloor is the primary because no floor is known for the read.
	PrimaryNoFloor
	// PrimaryReplicasLagging is the primary because every replica is behind the
	// floor.
	PrimaryReplicasLagging
	// PrimaryReplicasSuspect is the primary because all replicas that are not
	// lagging are suspected or unregistered.
	PrimaryReplicasSuspect
	// PrimaryFaster is the primary because its expected response time is
	// shorter, despite the penalty for reads on the primary.
	PrimaryFaster
)

var readSourceNames = [...]string{"none", "replica", "primary_by_route", "primary_no_floor", "primary_behind", "primary_doubt", "primary_sooner"}

func (s ReadSource) String() string { return readSourceNames[s] }

// ReadSources returns all sources of reads.
func AllReadSources() []ReadSource {
	return []ReadSource{ByReplica, PrimaryByRoute, PrimaryNoFloor, PrimaryReplicasLagging, PrimaryReplicasSuspect, PrimaryFaster}
}
