// Package platform simulates the platform's key-value store and service list. It
// implements the Consul HTTP endpoints that the hosts use: /v1/kv with cas,
// acquire and blocking queries, /v1/session, /v1/health/service and
// /v1/agent/service.
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

type item struct {
	value   []byte
	index   uint64
	session string
}

// Server simulates a Consul agent. It is safe for concurrent use.
type Server struct {
	mu       sync.Mutex
	index    uint64
	items    map[string]item
	sessions map[string]session
	services []registration
	// changed is closed and replaced at each change, and when an outage starts or ends.
	changed       chan struct{}
	lastSessionID uint64

	listLag time.Duration
	outage  atomic.Bool
	// delay is a time.Duration.
	delay           atomic.Int64
	responsesToDrop atomic.Int64
	calls           atomic.Int64
	writes          atomic.Int64

	listener net.Listener
	http     *http.Server
}

const maxValueBytes = 1 << 20

// NewServer starts a server on a loopback address. Changes to the service list
// become visible after listLag.
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
	mux.HandleFunc("DELETE /v1/kv/{key...}", s.deleteKey)
	mux.HandleFunc("PUT /v1/session/create", s.createSession)
	mux.HandleFunc("PUT /v1/session/renew/{id}", s.renewSession)
	mux.HandleFunc("PUT /v1/session/destroy/{id}", s.destroySession)
	mux.HandleFunc("PUT /v1/agent/service/register", s.register)
	mux.HandleFunc("PUT /v1/agent/service/deregister/{id}", s.deregister)
	mux.HandleFunc("GET /v1/health/service/{name}", s.listHealth)
	s.http = &http.Server{Handler: s.withFaults(mux), ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = s.http.Serve(l) }()
	return s, nil
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Close stops the server and closes its connections.
func (s *Server) Close() { _ = s.http.Close() }

// SetOutage makes all calls fail, including blocking queries in progress.
func (s *Server) SetOutage(on bool) {
	s.outage.Store(on)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wakeWaiters()
}

// SetDelay delays every call by d.
func (s *Server) SetDelay(d time.Duration) { s.delay.Store(int64(d)) }

// DropResponses applies the next n writes but closes their connections without a
// response.
func (s *Server) DropResponses(n int64) { s.responsesToDrop.Store(n) }

// Calls returns the number of calls, and how many of them were writes.
func (s *Server) Calls() (all, writes int64) { return s.calls.Load(), s.writes.Load() }

// withFaults counts calls and injects the configured faults before next.
func (s *Server) withFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.calls.Add(1)
		if r.Method != http.MethodGet {
			s.writes.Add(1)
		}
		if s.outage.Load() {
			http.Error(w, "the service is out", http.StatusServiceUnavailable)
			return
		}
		time.Sleep(time.Duration(s.delay.Load()))
		if r.Method != http.MethodGet && s.responsesToDrop.Add(-1) >= 0 {
			next.ServeHTTP(discardResponse{}, r)
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// discardResponse is a ResponseWriter that discards the response.
type discardResponse struct{}

func (discardResponse) Header() http.Header         { return make(http.Header) }
func (discardResponse) Write(b []byte) (int, error) { return len(b), nil }
func (discardResponse) WriteHeader(int)             {}

// wakeWaiters wakes the blocking queries. It needs mu held.
func (s *Server) wakeWaiters() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// kvEntry is the JSON representation of a key in Consul.
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

func encodeItem(key string, stored item) kvEntry {
	return kvEntry{
		Key: key, Value: base64.StdEncoding.EncodeToString(stored.value),
		ModifyIndex: stored.index, Session: stored.session,
	}
}

func hasPrefix(key, prefix string) bool { return strings.HasPrefix(key, prefix) }
