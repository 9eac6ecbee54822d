package platform

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// session is a Consul session, which expires unless renewed within its TTL.
type session struct {
	ttl     time.Duration
	expires time.Time
}

type sessionRequest struct {
	TTL string
}

type sessionResponse struct {
	ID string
}

// defaultTTL applies to sessions created without a valid TTL.
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
	s.lastSessionID++
	id := "session-" + strconv.FormatUint(s.lastSessionID, 10)
	s.sessions[id] = session{ttl: ttl, expires: time.Now().Add(ttl)}
	writeJSON(w, sessionResponse{ID: id})
}

func (s *Server) renewSession(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireSessions()
	id := r.PathValue("id")
	sess, live := s.sessions[id]
	if !live {
		http.NotFound(w, r)
		return
	}
	sess.expires = time.Now().Add(sess.ttl)
	s.sessions[id] = sess
	writeJSON(w, []sessionResponse{{ID: id}})
}

func (s *Server) destroySession(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endSession(r.PathValue("id"))
	writeJSON(w, true)
}

// expireSessions ends the sessions whose TTL has passed. It needs mu held.
func (s *Server) expireSessions() {
	for id, sess := range s.sessions {
		if time.Now().After(sess.expires) {
			s.endSession(id)
		}
	}
}

// endSession removes a session and releases its keys. It needs mu held.
func (s *Server) endSession(id string) {
	delete(s.sessions, id)
	for k, stored := range s.items {
		if stored.session == id {
			s.index++
			stored.session, stored.index = "", s.index
			s.items[k] = stored
		}
	}
	s.wakeWaiters()
}
