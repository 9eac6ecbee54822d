package lineplatform

import (
	"encoding/json"
	"net/http"
	"time"
)

// lease is a running lease.
type lease struct {
	ttl   time.Duration
	timer *time.Timer
}

// leaseAnswer answers the calls about leases.
type leaseAnswer struct {
	ID  uint64 `json:"lease_id,omitempty"`
	TTL int64  `json:"ttl_ms,omitempty"`
}

// EndLease ends a lease and removes its keys, as its expiry does.
func (s *Store) EndLease(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l, found := s.leases[id]
	if !found {
		return
	}
	l.timer.Stop()
	delete(s.leases, id)
	s.revision++
	for key, i := range s.items {
		if i.Lease == id {
			s.drop(key)
		}
	}
	s.wake()
}

func (s *Store) grant(r *http.Request) (int, any) {
	var body leaseAnswer
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		return http.StatusBadRequest, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	id := s.revision
	ttl := time.Duration(body.TTL) * time.Millisecond
	s.leases[id] = s.startLease(id, ttl)
	return http.StatusOK, leaseAnswer{ID: id, TTL: body.TTL}
}

// startLease has a lease run from now on. It is called with mu held.
func (s *Store) startLease(id uint64, ttl time.Duration) *lease {
	return &lease{ttl: ttl, timer: time.AfterFunc(ttl, func() { s.EndLease(id) })}
}

func (s *Store) keep(r *http.Request) (int, any) {
	id, err := number(r.PathValue("id"))
	if err != nil {
		return http.StatusBadRequest, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	l, found := s.leases[id]
	if !found {
		return http.StatusNotFound, nil
	}
	l.timer.Reset(l.ttl)
	return http.StatusOK, leaseAnswer{TTL: l.ttl.Milliseconds()}
}

func (s *Store) end(r *http.Request) (int, any) {
	id, err := number(r.PathValue("id"))
	if err != nil {
		return http.StatusBadRequest, nil
	}
	s.EndLease(id)
	return http.StatusOK, leaseAnswer{}
}
