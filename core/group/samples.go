package group

import (
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/logpos"
)

// maxSamples bounds the memory of a view. When it is exceeded every second
// sample is dropped, which reduces the precision for older positions.
const maxSamples = 64

// sample records that a primary's log ended at offset throughout [from, to].
type sample struct {
	from, to time.Duration
	offset   logpos.Offset
}

// samples is the history of log offsets of the primary of one term.
type samples struct {
	term logpos.Term
	list []sample
}

// add records an offset. A new term discards the samples of the previous one.
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
		s.decimate()
	}
}

// decimate drops every second sample but keeps the newest.
func (s *samples) decimate() {
	kept := s.list[:0]
	for i := range s.list {
		if i%2 == len(s.list)%2 || i == len(s.list)-1 {
			kept = append(kept, s.list[i])
		}
	}
	s.list = kept
}

// latest returns the newest time, not after limit, at which the log of the
// primary of term was not past offset.
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
