package platform

import (
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"time"
)

// defaultWait is the duration of a blocking query that sets none, as in Consul.
const defaultWait = 5 * time.Minute

// get serves reads of a key or a prefix (recurse), and blocking queries.
func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("index"), 10, 64)
	wait, err := time.ParseDuration(query.Get("wait"))
	if err != nil {
		wait = defaultWait
	}
	s.waitForChange(r, key, after, wait)
	if s.outage.Load() {
		http.Error(w, "simulated outage", http.StatusServiceUnavailable)
		return
	}
	s.mu.Lock()
	entries, index := s.read(key, query.Has("recurse"))
	s.mu.Unlock()
	w.Header().Set("X-Consul-Index", strconv.FormatUint(max(index, 1), 10))
	if len(entries) == 0 {
		http.NotFound(w, r)
		return
	}
	writeJSON(w, entries)
}

// read returns the matching entries and their highest index. It needs mu held.
func (s *Server) read(key string, recurse bool) ([]kvEntry, uint64) {
	var entries []kvEntry
	var index uint64
	for _, k := range slices.Sorted(maps.Keys(s.items)) {
		if k == key || (recurse && hasPrefix(k, key)) {
			entries = append(entries, encodeItem(k, s.items[k]))
			index = max(index, s.items[k].index)
		}
	}
	return entries, index
}

// waitForChange blocks until the index of key exceeds after, the wait expires or
// an outage starts.
func (s *Server) waitForChange(r *http.Request, key string, after uint64, wait time.Duration) {
	if after == 0 {
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		_, index := s.read(key, r.URL.Query().Has("recurse"))
		changed := s.changed
		s.mu.Unlock()
		if max(index, 1) > after || s.outage.Load() {
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			return
		case <-r.Context().Done():
			return
		}
	}
}

// put serves writes, which may be conditional on cas and acquire.
func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxValueBytes+1))
	if err != nil {
		return
	}
	if len(body) > maxValueBytes {
		http.Error(w, "value exceeds the limit", http.StatusRequestEntityTooLarge)
		return
	}
	key, query := r.PathValue("key"), r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireSessions()
	stored := s.items[key]
	if query.Has("cas") {
		wantIndex, err := strconv.ParseUint(query.Get("cas"), 10, 64)
		if err != nil || wantIndex != stored.index {
			writeJSON(w, false)
			return
		}
	}
	if id := query.Get("acquire"); id != "" {
		if _, live := s.sessions[id]; !live || (stored.session != "" && stored.session != id) {
			writeJSON(w, false)
			return
		}
		stored.session = id
	}
	s.index++
	stored.value, stored.index = body, s.index
	s.items[key] = stored
	s.wakeWaiters()
	writeJSON(w, true)
}

func (s *Server) deleteKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.items, r.PathValue("key"))
	s.index++
	s.wakeWaiters()
	writeJSON(w, true)
}
