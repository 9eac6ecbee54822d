// Package catalog holds the configuration of databases: the service that each
// database belongs to, its consistency level and the callers that may use it.
package catalog

import "time"

// Consistency is the consistency level of a database's reads.
type Consistency uint8

// The consistency levels, strictest first.
const (
	// Primary reads see every acknowledged commit.
	Primary Consistency = iota
	// ReadYourWrites reads may be up to MaxStaleness old, but see the session's
	// own commits.
	ReadYourWrites
	// BoundedStaleness reads may be up to MaxStaleness old.
	BoundedStaleness
)

var consistencyNames = [...]string{"primary", "read_your_writes", "bounded_staleness"}

// KnownConsistency reports whether this version knows the consistency level with a number
// that another host has sent.
func KnownConsistency(n uint32) bool { return n < uint32(len(consistencyNames)) }

func (c Consistency) String() string { return consistencyNames[c] }

// Route maps a database name to a service and its request settings.
type Route struct {
	// Database is the database name that callers connect to.
	Database string
	// Name identifies the route in logs.
	Name        string
	Service     string
	Consistency Consistency
	// StatementTimeout bounds one statement.
	StatementTimeout time.Duration
	// TargetLatency is the latency objective of a whole operation.
	TargetLatency time.Duration
	// Priority is the priority class; 0 is the highest.
	Priority int
	// MaxStaleness bounds the age of the data that ReadYourWrites and
	// BoundedStaleness reads return.
	MaxStaleness time.Duration
	// Public allows callers without a known key.
	Public bool
}

// Service is the configuration of one database group.
type Service struct {
	Name string
	// MaxConnections bounds the connections to one member, over all hosts.
	MaxConnections int
	// SyncReplicas is the number of replicas that must have received a commit
	// before it is acknowledged.
	SyncReplicas int
}

// Spec is the decoded content of one configuration version.
type Spec struct {
	Version uint64
	// TxIdleTimeout is how long a transaction may be idle before it may be
	// aborted.
	TxIdleTimeout time.Duration
	Routes        []Route
	Services      []Service
	// Teams is nil if callers need no key.
	Teams *Teams
}

// Catalog is one version of the configuration. It is immutable.
type Catalog struct {
	Version uint64
	// TxIdleTimeout is how long a transaction may be idle before it may be
	// aborted.
	TxIdleTimeout time.Duration
	Services      map[string]Service
	Teams         *Teams
	routes        map[string]Route
}

// New returns a catalog. If two routes name the same database, the first one is
// used.
func New(spec Spec) *Catalog {
	c := &Catalog{
		Version: spec.Version, TxIdleTimeout: spec.TxIdleTimeout, Teams: spec.Teams,
		Services: make(map[string]Service, len(spec.Services)), routes: make(map[string]Route, len(spec.Routes)),
	}
	for _, r := range spec.Routes {
		if _, found := c.routes[r.Database]; !found {
			c.routes[r.Database] = r
		}
	}
	for _, service := range spec.Services {
		c.Services[service.Name] = service
	}
	return c
}

// Authorize returns the team of the caller and whether the caller may use the
// route. A caller without a known key has no team and may use only public routes.
func (c *Catalog) Authorize(r Route, credential Credential) (Team, bool) {
	team, known := c.Teams.Identify(credential)
	return team, known || r.Public
}

func (c *Catalog) Route(database string) (Route, bool) {
	r, found := c.routes[database]
	return r, found
}

// Len is the number of routes.
func (c *Catalog) Len() int { return len(c.routes) }

// Newer returns the catalog with the higher version, so that catalogs delivered
// out of order never replace a newer one. On equal versions it returns current.
func Newer(current, next *Catalog) *Catalog {
	if current != nil && next.Version <= current.Version {
		return current
	}
	return next
}
