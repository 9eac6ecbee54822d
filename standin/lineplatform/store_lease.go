package lineplatform

import (
	"encoding/json"
	"net/http"
	"time"
)

// lease is a lease that has not expired.
type lease struct {
	ttl   time.Duration
	timer *time.Timer
}

// leaseBody is the request and the answer of the lease calls.
type leaseBody struct {
	ID    uint64 `json:"lease_id,omitempty"`
	TTLMS int64  `json:"ttl_ms,omitempty"`
}

// EndLease ends a lease and deletes its keys, as its expiry does.
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
	for key, item := range s.items {
		if item.LeaseID == id {
			s.remove(key)
		}
	}
	s.notifyWatches()
}

func (s *Store) grantLease(r *http.Request) (int, any) {
	var body leaseBody
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		return http.StatusBadRequest, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	id := s.revision
	ttl := time.Duration(body.TTLMS) * time.Millisecond
	s.leases[id] = s.startLease(id, ttl)
	return http.StatusOK, leaseBody{ID: id, TTLMS: body.TTLMS}
}

// startLease returns a lease whose TTL starts now. The caller holds mu.
func (s *Store) startLease(id uint64, ttl time.Duration) *lease {
	return &lease{ttl: ttl, timer: time.AfterFunc(ttl, func() { s.EndLease(id) })}
}

func (s *Store) renewLease(r *http.Request) (int, any) {
	id, err := parseUint(r.PathValue("id"))
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
	return http.StatusOK, leaseBody{TTLMS: l.ttl.Milliseconds()}
}

func (s *Store) revokeLease(r *http.Request) (int, any) {
	id, err := parseUint(r.PathValue("id"))
	if err != nil {
		return http.StatusBadRequest, nil
	}
	s.EndLease(id)
	return http.StatusOK, leaseBody{}
}
