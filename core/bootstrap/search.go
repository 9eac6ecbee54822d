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
	// silenceTimeout is the time after the last answer of a source from which on an
	// unanswered question costs it its place. It covers the start of a process.
	silenceTimeout = 1200 * time.Millisecond
	// silentRetry is how long a silent source is passed over. Each question to it takes as
	// long as a copy may.
	silentRetry = time.Second
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
	// Read the record again after RetryInterval: it names no source, and hosts with faster
	// links may enter it.
	Read
	// List the store: this host is a source.
	List
	// Claim the place of a source with a conditional write of Search.Claimed.
	Claim
)

// Search is one host's search for a copy of the store. It is not safe for concurrent use.
type Search struct {
	self   gates.Host
	record Record
	// changedAt is when the record was last seen to change.
	changedAt time.Duration
	// heardAt is when each source has last answered, with or without a copy, or was first
	// seen in the record.
	heardAt map[string]time.Duration
	// silentAt is when each source has last left a question unanswered, unless it has
	// answered since.
	silentAt map[string]time.Duration
	// asked is set once the sources of the record were asked.
	asked bool
}

// NewSearch returns the search of a host that has read a record.
func NewSearch(self gates.Host, record Record, now time.Duration) *Search {
	s := &Search{self: self, heardAt: map[string]time.Duration{}, silentAt: map[string]time.Duration{}}
	s.apply(record, now)
	return s
}

// Update applies a state of the record that was read later.
func (s *Search) Update(record Record, now time.Duration) {
	if record.Revision != s.record.Revision {
		s.apply(record, now)
	}
}

func (s *Search) apply(record Record, now time.Duration) {
	s.record, s.changedAt, s.asked = record, now, false
	for _, source := range record.Sources {
		if _, known := s.heardAt[source.Name]; !known {
			s.heardAt[source.Name] = now
		}
	}
}

// Answered records that a source has answered without giving a copy.
func (s *Search) Answered(source string, now time.Duration) {
	s.heardAt[source] = now
	delete(s.silentAt, source)
}

// Silent records that a source has not answered.
func (s *Search) Silent(source string, now time.Duration) { s.silentAt[source] = now }

// Asked records the end of a round in which no source gave a copy.
func (s *Search) Asked() { s.asked = true }

// Next returns the next step.
func (s *Search) Next(now time.Duration) Step {
	switch {
	case s.record.Names(s.self.Name):
		return List
	case (s.asked || len(s.record.Sources) == 0) && s.hasFreePlace(now-ClaimDelay(s.self)):
		return Claim
	case len(s.record.Sources) == 0:
		return Read
	}
	return Ask
}

// hasFreePlace reports whether this host could take a place at a time. One that the record
// leaves free is free from its last change on.
func (s *Search) hasFreePlace(at time.Duration) bool {
	return at >= s.changedAt && len(s.remaining(at)) < MaxSources
}

// remaining returns the sources whose places were taken at a time: all that had answered
// lately, but for one if none of them has a copy.
func (s *Search) remaining(at time.Duration) []gates.Host {
	remaining := slices.DeleteFunc(slices.Clone(s.record.Sources), func(source gates.Host) bool {
		// One unanswered question says little: the process may be starting.
		silentFor := min(s.silentAt[source.Name], at) - s.heardAt[source.Name]
		return silentFor >= silenceTimeout
	})
	if len(remaining) == MaxSources && at-s.changedAt >= copyTimeout {
		return remaining[1:]
	}
	return remaining
}

// Claimed returns the sources to write in place of those of Record.
func (s *Search) Claimed(now time.Duration) []gates.Host { return append(s.remaining(now), s.self) }

// Gone returns the hosts that were asked and have not answered for so long that they lost
// their places, or would. They are not to be expected as relays either.
func (s *Search) Gone() []string {
	var gone []string
	for host, at := range s.silentAt {
		if at-s.heardAt[host] >= silenceTimeout {
			gone = append(gone, host)
		}
	}
	return gone
}

// Record returns the state of the record on which Claimed is based.
func (s *Search) Record() Record { return s.record }

// Sources returns the sources to ask, in an order that differs between hosts, since many
// start together. One that was silent a moment ago is passed over beside others.
func (s *Search) Sources(now time.Duration) []gates.Host {
	sources := slices.DeleteFunc(slices.Clone(s.record.Sources), func(source gates.Host) bool {
		at, silent := s.silentAt[source.Name]
		return silent && now-at < silentRetry
	})
	if len(sources) == 0 {
		sources = s.record.Sources
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
