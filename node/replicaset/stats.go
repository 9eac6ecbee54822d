package replicaset

import (
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/logpos"
)

// Stats is a set as metrics show it.
type Stats struct {
	// Connections and Waiting are sums over the members.
	Connections, Waiting int
	Term                 logpos.Term
	// FloorAge is how old the newest floor is; zero while there is none.
	FloorAge time.Duration
}

// Service returns the name of the service.
func (s *Set) Service() string { return s.service }

// Stats returns the figures of this moment.
func (s *Set) Stats(now time.Duration) Stats {
	st := Stats{Term: s.Term()}
	for _, m := range s.Members() {
		m.mu.Lock()
		st.Connections += m.pool.Open()
		st.Waiting += m.pool.Waiting()
		m.mu.Unlock()
	}
	if f, found := s.Floor(); found {
		st.FloorAge = now - f.Sent
	}
	return st
}
