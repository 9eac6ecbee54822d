package group

import (
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/logpos"
)

// maxSamples bounds the memory of a view. When it is reached every second
// sample goes, which costs precision for the oldest positions only.
const maxSamples = 64

// sample says that a primary's log ended at offset at every time between from
// and to.
type sample struct {
	from, to time.Duration
	offset   logpos.Offset
}

// samples records how far the primary of one term was at which time.
type samples struct {
	term logpos.Term
	list []sample
}

// add records one sample. Samples of another term replace the list.
func (s *samples) add(term logpos.Term, at time.Duration, offset logpos.Offset) {
	if term != s.term {
		s.term, s.list = term, s.list[:0]
	}
	if n := len(s.list); n > 0 && s.list[n-1].offset == offset {
		s.list[n-1].to = at
		return
	}
	s.list = append(s.list, sample{from: at, to: at, offset: offset})
	if len(s.list) > maxSamples {
		s.thin()
	}
}

// thin drops every second sample but keeps the newest.
func (s *samples) thin() {
	kept := s.list[:0]
	for i := range s.list {
		if i%2 == len(s.list)%2 || i == len(s.list)-1 {
			kept = append(kept, s.list[i])
		}
	}
	s.list = kept
}

// latest returns the newest time, no later than limit, at which the primary
// of term was not past offset.
func (s *samples) latest(term logpos.Term, offset logpos.Offset, limit time.Duration) (time.Duration, bool) {
	if term != s.term {
		return 0, false
	}
	for i := len(s.list) - 1; i >= 0; i-- {
		if s.list[i].from <= limit && s.list[i].offset <= offset {
			return min(s.list[i].to, limit), true
		}
	}
	return 0, false
}
