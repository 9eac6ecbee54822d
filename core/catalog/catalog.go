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

// Catalog is one version of the configuration. It is never changed.
type Catalog struct {
	Version uint64
	// TxIdle is how long a transaction may rest before it may be ended.
	TxIdle   time.Duration
	Services map[string]Service
	routes   map[string]Route
}

// New returns a catalog. Of two routes for one database the first counts.
func New(version uint64, txIdle time.Duration, routes []Route, services []Service) *Catalog {
	c := &Catalog{
		Version: version, TxIdle: txIdle,
		Services: make(map[string]Service, len(services)), routes: make(map[string]Route, len(routes)),
	}
	for _, r := range routes {
		if _, found := c.routes[r.Database]; !found {
			c.routes[r.Database] = r
		}
	}
	for _, s := range services {
		c.Services[s.Name] = s
	}
	return c
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
