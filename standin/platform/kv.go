package platform

import (
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"time"
)

const defaultWait = 5 * time.Minute

// get serves a read, a read below a prefix (recurse) and a blocking query.
func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("index"), 10, 64)
	wait, err := time.ParseDuration(query.Get("wait"))
	if err != nil {
		wait = defaultWait
	}
	s.block(r, key, after, wait)
	if s.out.Load() {
		http.Error(w, "the service is out", http.StatusServiceUnavailable)
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

// read needs mu held. The index is that of the newest entry it covers.
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

// block waits until key has changed past an index.
func (s *Server) block(r *http.Request, key string, after uint64, wait time.Duration) {
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
		if max(index, 1) > after || s.out.Load() {
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

// put serves a write, with cas and acquire conditions.
func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxValue+1))
	if err != nil {
		return
	}
	if len(body) > maxValue {
		http.Error(w, "value exceeds the limit", http.StatusRequestEntityTooLarge)
		return
	}
	key, query := r.PathValue("key"), r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	it := s.items[key]
	if query.Has("cas") {
		want, err := strconv.ParseUint(query.Get("cas"), 10, 64)
		if err != nil || want != it.index {
			writeJSON(w, false)
			return
		}
	}
	if id := query.Get("acquire"); id != "" {
		if _, live := s.sessions[id]; !live || (it.session != "" && it.session != id) {
			writeJSON(w, false)
			return
		}
		it.session = id
	}
	s.index++
	it.value, it.index = body, s.index
	s.items[key] = it
	s.signal()
	writeJSON(w, true)
}

func (s *Server) remove(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.items, r.PathValue("key"))
	s.index++
	s.signal()
	writeJSON(w, true)
}
