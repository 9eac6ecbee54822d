package replicaset

// ReadSource says where a read was served, and for the primary why.
type ReadSource uint8

// The sources.
const (
	// NoRead is the source of what is no read.
	NoRead ReadSource = iota
	// ByReplica is a replica.
	ByReplica
	// PrimaryByRoute is the primary, because the route asks for it.
	PrimaryByRoute
	// PrimaryNoFloor is the primary, because nothing known bounds the age of what a
	// replica would show.
	PrimaryNoFloor
	// PrimaryBehind is the primary, because every replica is behind the floor.
	PrimaryBehind
	// PrimaryDoubt is the primary, because the replicas that are not behind are in
	// doubt or missing.
	PrimaryDoubt
	// PrimarySooner is the primary, because it answers sooner by more than reads are
	// kept from it.
	PrimarySooner
)

var readSourceNames = [...]string{"none", "replica", "primary_by_route", "primary_no_floor", "primary_behind", "primary_doubt", "primary_sooner"}

func (s ReadSource) String() string { return readSourceNames[s] }

// ReadSources returns all sources of reads.
func ReadSources() []ReadSource {
	return []ReadSource{ByReplica, PrimaryByRoute, PrimaryNoFloor, PrimaryBehind, PrimaryDoubt, PrimarySooner}
}
