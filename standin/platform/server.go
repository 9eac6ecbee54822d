// Package platform is a stand-in for the platform's key-value service and its
// list of hosts. It serves the published HTTP calls of Consul that the system
// uses: /v1/kv with cas, acquire and blocking queries, /v1/session, and
// /v1/health/service with /v1/agent/service for the list of hosts.
package platform

import (
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// item is one stored value.
type item struct {
	value   []byte
	index   uint64
	session string
}

// Server is the stand-in. It is safe for concurrent use.
type Server struct {
	mu       sync.Mutex
	index    uint64
	items    map[string]item
	sessions map[string]session
	services []registration
	changed  chan struct{}
	nextID   uint64

	listLag time.Duration
	out     atomic.Bool
	slow    atomic.Int64
	lose    atomic.Int64
	calls   atomic.Int64
	writes  atomic.Int64

	listener net.Listener
	http     *http.Server
}

// maxValue is the largest value the service takes, in bytes.
const maxValue = 1 << 20

// NewServer starts the stand-in on loopback. Changes to the list of hosts
// show after listLag.
func NewServer(listLag time.Duration) (*Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{
		items: make(map[string]item), sessions: make(map[string]session),
		changed: make(chan struct{}), listLag: listLag, listener: l,
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv/{key...}", s.get)
	mux.HandleFunc("PUT /v1/kv/{key...}", s.put)
	mux.HandleFunc("DELETE /v1/kv/{key...}", s.remove)
	mux.HandleFunc("PUT /v1/session/create", s.createSession)
	mux.HandleFunc("PUT /v1/session/renew/{id}", s.renewSession)
	mux.HandleFunc("PUT /v1/session/destroy/{id}", s.destroySession)
	mux.HandleFunc("PUT /v1/agent/service/register", s.register)
	mux.HandleFunc("PUT /v1/agent/service/deregister/{id}", s.deregister)
	mux.HandleFunc("GET /v1/health/service/{name}", s.health)
	s.http = &http.Server{Handler: s.withFaults(mux), ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = s.http.Serve(l) }()
	return s, nil
}

// Addr returns the listener's address.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Close stops the stand-in.
func (s *Server) Close() { _ = s.http.Close() }

// SetOutage makes every call fail, and ends those that wait.
func (s *Server) SetOutage(on bool) {
	s.out.Store(on)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.signal()
}

// SetSlow delays every call.
func (s *Server) SetSlow(d time.Duration) { s.slow.Store(int64(d)) }

// LoseAnswers makes the next n writes take effect without an answer.
func (s *Server) LoseAnswers(n int64) { s.lose.Store(n) }

// Calls returns how many calls were made, and how many of them were writes.
func (s *Server) Calls() (all, writes int64) { return s.calls.Load(), s.writes.Load() }

// withFaults counts calls and injects failures ahead of next.
func (s *Server) withFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.calls.Add(1)
		if r.Method != http.MethodGet {
			s.writes.Add(1)
		}
		if s.out.Load() {
			http.Error(w, "the service is out", http.StatusServiceUnavailable)
			return
		}
		time.Sleep(time.Duration(s.slow.Load()))
		if r.Method != http.MethodGet && s.lose.Add(-1) >= 0 {
			next.ServeHTTP(discard{}, r)
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// discard takes an answer that gets lost.
type discard struct{}

func (discard) Header() http.Header         { return make(http.Header) }
func (discard) Write(b []byte) (int, error) { return len(b), nil }
func (discard) WriteHeader(int)             {}

// signal wakes the waiting queries; it needs mu held.
func (s *Server) signal() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// kvEntry is Consul's form of a stored value.
type kvEntry struct {
	Key         string
	Value       string
	ModifyIndex uint64
	Session     string `json:",omitempty"`
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func encodeItem(key string, it item) kvEntry {
	return kvEntry{
		Key: key, Value: base64.StdEncoding.EncodeToString(it.value),
		ModifyIndex: it.index, Session: it.session,
	}
}

func hasPrefix(key, prefix string) bool { return strings.HasPrefix(key, prefix) }
