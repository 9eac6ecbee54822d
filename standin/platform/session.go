package platform

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// session is a lease: it ends unless it is renewed.
type session struct {
	ttl     time.Duration
	expires time.Time
}

type sessionRequest struct {
	TTL string
}

type sessionAnswer struct {
	ID string
}

const defaultTTL = 15 * time.Second

func (s *Server) createSession(w http.ResponseWriter, r *http.Request) {
	var req sessionRequest
	_ = json.NewDecoder(r.Body).Decode(&req)
	ttl, err := time.ParseDuration(req.TTL)
	if err != nil {
		ttl = defaultTTL
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextID++
	id := "session-" + strconv.FormatUint(s.nextID, 10)
	s.sessions[id] = session{ttl: ttl, expires: time.Now().Add(ttl)}
	writeJSON(w, sessionAnswer{ID: id})
}

func (s *Server) renewSession(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	id := r.PathValue("id")
	se, live := s.sessions[id]
	if !live {
		http.NotFound(w, r)
		return
	}
	se.expires = time.Now().Add(se.ttl)
	s.sessions[id] = se
	writeJSON(w, []sessionAnswer{{ID: id}})
}

func (s *Server) destroySession(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.end(r.PathValue("id"))
	writeJSON(w, true)
}

// expire ends the sessions whose time is up; it needs mu held.
func (s *Server) expire() {
	for id, se := range s.sessions {
		if time.Now().After(se.expires) {
			s.end(id)
		}
	}
}

// end releases what a session holds; it needs mu held.
func (s *Server) end(id string) {
	delete(s.sessions, id)
	for k, it := range s.items {
		if it.session == id {
			s.index++
			it.session, it.index = "", s.index
			s.items[k] = it
		}
	}
	s.signal()
}
