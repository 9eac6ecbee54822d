// Package catalog holds the operators' configuration of databases: which
// service a database belongs to and what its callers are promised.
package catalog

import "time"

// Consistency is what a database promises of its reads.
type Consistency uint8

// The promises, strictest first.
const (
	// Primary reads see every acknowledged commit.
	Primary Consistency = iota
	// ReadYourWrites reads are as old as MaxStaleness allows, but see the
	// session's own commits.
	ReadYourWrites
	// BoundedStaleness reads are as old as MaxStaleness allows.
	BoundedStaleness
)

var consistencyNames = [...]string{"primary", "read_your_writes", "bounded_staleness"}

func (c Consistency) String() string { return consistencyNames[c] }

// Route is one database as callers know it.
type Route struct {
	// Database is the name that a session starts with.
	Database string
	// Name is the operators' name of the route, for logs.
	Name        string
	Service     string
	Consistency Consistency
	// Timeout bounds one statement.
	Timeout time.Duration
	// Target is the latency that a whole operation aims at.
	Target time.Duration
	// Priority 0 is the highest.
	Priority     int
	MaxStaleness time.Duration
	// Public admits callers without a known key.
	Public bool
}

// Service is one database group as the operators declare it.
type Service struct {
	Name string
	// MaxConnections bounds the connections to one member, over all hosts.
	MaxConnections int
	// SyncReplicas is how many replicas hold a commit before it is
	// acknowledged.
	SyncReplicas int
}

// Spec is what one version of the configuration declares.
type Spec struct {
	Version uint64
	// TxIdle is how long a transaction may rest before it may be ended.
	TxIdle   time.Duration
	Routes   []Route
	Services []Service
	// Teams is nil where callers are not asked for a key.
	Teams *Teams
}

// Catalog is one version of the configuration. It is never changed.
type Catalog struct {
	Version uint64
	// TxIdle is how long a transaction may rest before it may be ended.
	TxIdle   time.Duration
	Services map[string]Service
	Teams    *Teams
	routes   map[string]Route
}

// New returns a catalog. Of two routes for one database the first counts.
func New(s Spec) *Catalog {
	c := &Catalog{
		Version: s.Version, TxIdle: s.TxIdle, Teams: s.Teams,
		Services: make(map[string]Service, len(s.Services)), routes: make(map[string]Route, len(s.Routes)),
	}
	for _, r := range s.Routes {
		if _, found := c.routes[r.Database]; !found {
			c.routes[r.Database] = r
		}
	}
	for _, service := range s.Services {
		c.Services[service.Name] = service
	}
	return c
}

// Admit returns the team in whose name a caller uses a route. It reports false
// for a caller that may not use it. A caller without a known key has no team; a
// public route admits it.
func (c *Catalog) Admit(r Route, credential Credential) (Team, bool) {
	team, known := c.Teams.Identify(credential)
	return team, known || r.Public
}

// Route returns the route of a database.
func (c *Catalog) Route(database string) (Route, bool) {
	r, found := c.routes[database]
	return r, found
}

// Len returns the number of routes.
func (c *Catalog) Len() int { return len(c.routes) }

// Newer returns the catalog that is in force after next is seen: versions only
// rise, whatever order sources deliver them in.
func Newer(current, next *Catalog) *Catalog {
	if current != nil && next.Version <= current.Version {
		return current
	}
	return next
}
