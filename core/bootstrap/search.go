package bootstrap

import (
	"slices"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/gates"
	"github.com/dotterelswitch/dotterelswitch/core/membership"
)

const (
	// RetryInterval is the time between two rounds in which a host asks its sources.
	RetryInterval = 200 * time.Millisecond
	// silenceTimeout is how long a source may leave questions unanswered before another
	// host takes its place. It covers the start of a process and a lost packet.
	silenceTimeout = 1200 * time.Millisecond
	// copyTimeout is how long sources that answer may have no copy to give before another
	// host takes the place of one: they may not reach the store. It covers a listing of
	// tens of pages.
	copyTimeout = 4 * time.Second
	// copyBytes is about the size of a copy in a large fleet, and copiesAtOnce the number
	// that a source should send soon after its start. A host whose link takes longer for
	// them leaves the place of a source to faster ones for that time.
	copyBytes    = 500_000
	copiesAtOnce = 20
	// maxClaimDelay bounds that time.
	maxClaimDelay = 2 * time.Second
)

// Step is what a host does next.
type Step uint8

const (
	// Ask the sources for a copy, and decide again after RetryInterval if none gives one.
	Ask Step = iota
	// List the store: this host is a source.
	List
	// Claim the place of a source with a conditional write of Search.Claimed.
	Claim
)

// Search is one host's search for a copy of the store. It is not safe for concurrent use.
type Search struct {
	self    gates.Host
	record  Record
	started time.Duration
	// changedAt is when the record was last seen to change.
	changedAt time.Duration
	// heardAt is when each source last answered, with or without a copy.
	heardAt map[string]time.Duration
	// asked is set once the sources of the record were asked.
	asked bool
}

// NewSearch returns the search of a host that has read a record.
func NewSearch(self gates.Host, record Record, now time.Duration) *Search {
	s := &Search{self: self, started: now}
	s.Update(record, now)
	return s
}

// Update applies a newer state of the record.
func (s *Search) Update(record Record, now time.Duration) {
	s.record, s.changedAt, s.heardAt, s.asked = record, now, map[string]time.Duration{}, false
}

// Answered records that a source has answered without giving a copy.
func (s *Search) Answered(source string, now time.Duration) { s.heardAt[source] = now }

// Asked records the end of a round in which no source gave a copy.
func (s *Search) Asked() { s.asked = true }

// Next returns the next step.
func (s *Search) Next(now time.Duration) Step {
	switch {
	case s.record.Names(s.self.Name):
		return List
	case now-s.started < ClaimDelay(s.self):
		return Ask
	case len(s.record.Sources) == 0:
		return Claim
	case s.asked && (len(s.record.Sources) < MaxSources || s.replaceable(now) >= 0):
		return Claim
	}
	return Ask
}

// replaceable returns the index of the source whose place this host may take: one that is
// silent, or any if none has a copy; -1 if there is none.
func (s *Search) replaceable(now time.Duration) int {
	for n, source := range s.record.Sources {
		if now-max(s.heardAt[source.Name], s.changedAt) >= silenceTimeout {
			return n
		}
	}
	if now-s.changedAt >= copyTimeout {
		return 0
	}
	return -1
}

// Claimed returns the sources to write in place of those of Record.
func (s *Search) Claimed(now time.Duration) []gates.Host {
	sources := slices.Clone(s.record.Sources)
	if n := s.replaceable(now); n >= 0 {
		sources = slices.Delete(sources, n, n+1)
	}
	return append(sources, s.self)
}

// Record returns the state of the record on which Claimed is based.
func (s *Search) Record() Record { return s.record }

// Sources returns the sources in the order in which this host asks them. The order differs
// between hosts, since many start together.
func (s *Search) Sources() []gates.Host {
	sources := s.record.Sources
	if len(sources) == 0 {
		return nil
	}
	first := int(membership.Score(s.self.Zone, s.self.Name) % uint64(len(sources)))
	return slices.Concat(sources[first:], sources[:first])
}

// ClaimDelay returns how long a host leaves the place of a source to hosts with faster
// links: the time in which its own one sends some copies.
func ClaimDelay(self gates.Host) time.Duration {
	if self.LinkMbps <= 0 {
		return 0
	}
	seconds := float64(copyBytes*copiesAtOnce*8) / (float64(self.LinkMbps) * 1e6)
	return min(time.Duration(seconds*float64(time.Second)), maxClaimDelay)
}
