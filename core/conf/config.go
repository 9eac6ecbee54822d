// Package conf holds the deployment's configuration: services and their
// upstreams, teams, request classes, events and drains. Values are immutable
// once published; every accepted change creates a new version.
package conf

import "time"

// Config is one version of the whole configuration. Each list is sorted by
// name.
type Config struct {
	// Version increases by one with each accepted change. Zero means that no
	// configuration exists yet.
	Version uint64 `json:"version"`
	// ChangeID identifies the change that created this version, so that an
	// operator who got no response can tell whether the change took effect.
	ChangeID string    `json:"change_id"`
	Zones    []Zone    `json:"zones"`
	Services []Service `json:"services"`
	Classes  []Class   `json:"classes"`
	Teams    []Team    `json:"teams"`
	Events   []Event   `json:"events"`
	Drains   []Drain   `json:"drains"`
}

// Zone is an availability zone.
type Zone struct {
	Name   string `json:"name"`
	Region string `json:"region"`
}

// Service is a database group that callers connect to by name.
type Service struct {
	Name      string     `json:"name"`
	Upstreams []Upstream `json:"upstreams"`
}

// Upstream is one member of a database group.
type Upstream struct {
	Name string `json:"name"`
	Zone string `json:"zone"`
	// Address is host:port of the PostgreSQL listener.
	Address string `json:"address"`
	// Slots is the maximum number of statements that execute concurrently.
	Slots int `json:"slots"`
	// Connections is the maximum number of connections to the upstream, over
	// all hosts.
	Connections int `json:"connections"`
}

// Class is a request class with a staleness bound.
type Class struct {
	Name string `json:"name"`
	// Staleness is the maximum age of the data that a read may return. Zero
	// requires reads to see every acknowledged commit.
	Staleness time.Duration `json:"staleness"`
}

// Team is an organisation of callers. Capacity is shared fairly among teams.
type Team struct {
	Name   string  `json:"name"`
	Weight float64 `json:"weight"`
	// Connections bounds the team's client connections on one host; zero
	// means the host's default.
	Connections int `json:"connections"`
	// Credentials are the digests of the keys that authenticate the team's
	// callers. If no team has credentials, callers need no key.
	Credentials []string `json:"credentials,omitempty"`
}

// Event announces a period of heavy traffic that begins at Start.
type Event struct {
	Name     string    `json:"name"`
	Start    time.Time `json:"start"`
	Services []string  `json:"services"`
	// Staleness overrides the staleness bounds of classes from Start on.
	Staleness []Class `json:"staleness"`
}

// Drain requests that a host or an upstream gets no new work.
type Drain struct {
	Kind DrainKind `json:"kind"`
	Name string    `json:"name"`
}

// DrainKind is the kind of object that a Drain names.
type DrainKind string

const (
	DrainHost     DrainKind = "host"
	DrainUpstream DrainKind = "upstream"
)
