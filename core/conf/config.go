// Package conf holds the operators' configuration: services and their
// upstreams, teams, request classes, events and drains. Values are immutable
// once published; every accepted change makes a new version.
package conf

import "time"

// Config is one version of the whole configuration. Each list is in order of
// name.
type Config struct {
	// Version grows by one with each accepted change. Zero means none.
	Version uint64 `json:"version"`
	// ChangeID names the change that made this version, so that an operator
	// whose answer was lost can tell whether it took effect.
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
	// Slots is how many statements may execute at once.
	Slots int `json:"slots"`
	// Connections is how many connections the system may open.
	Connections int `json:"connections"`
}

// Class is a kind of request with a staleness bound.
type Class struct {
	Name string `json:"name"`
	// Staleness is the greatest age of the data a read may return. Zero asks
	// for the newest acknowledged state.
	Staleness time.Duration `json:"staleness"`
}

// Team is a caller's organisation, for fair sharing.
type Team struct {
	Name   string  `json:"name"`
	Weight float64 `json:"weight"`
	// Connections bounds the team's client connections on one host; zero
	// means the host's default.
	Connections int `json:"connections"`
	// Credentials are the digests of the keys with which its callers prove
	// themselves. Where no team has any, callers are not asked for a key.
	Credentials []string `json:"credentials,omitempty"`
}

// Event is a declared start of heavy traffic.
type Event struct {
	Name     string    `json:"name"`
	Start    time.Time `json:"start"`
	Services []string  `json:"services"`
	// Staleness overrides the bound of classes from Start on.
	Staleness []Class `json:"staleness"`
}

// Drain asks that a host or an upstream gets no new work.
type Drain struct {
	Kind DrainKind `json:"kind"`
	Name string    `json:"name"`
}

// DrainKind says what a Drain names.
type DrainKind string

// The kinds of drain.
const (
	DrainHost     DrainKind = "host"
	DrainUpstream DrainKind = "upstream"
)
