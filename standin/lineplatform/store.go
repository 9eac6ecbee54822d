package lineplatform

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// kvItem is one key of the store.
type kvItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease_id"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// lease is a running lease.
type lease struct {
	ttl   time.Duration
	timer *time.Timer
}

// Outage is how the store fails.
type Outage uint8

// The outages.
const (
	// Up means that the store serves.
	Up Outage = iota
	// Refusing answers 503.
	Refusing
	// Silent accepts calls and does not answer.
	Silent
	// LosingAnswers carries writes out and does not answer.
	LosingAnswers
)

// Store is the key-value store. It is safe for concurrent use.
type Store struct {
	mu        sync.Mutex
	revision  uint64
	compacted uint64
	items     map[string]kvItem
	history   []kvItem
	leases    map[uint64]*lease
	changed   chan struct{}
	outage    Outage
	// deaf is set while watches that wait hear of no change.
	deaf   bool
	closed chan struct{}
	calls  int
	// watches counts the calls to watch among them.
	watches int
}

func newStore() *Store {
	return &Store{items: map[string]kvItem{}, leases: map[uint64]*lease{}, changed: make(chan struct{}), closed: make(chan struct{})}
}

func (s *Store) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.closed)
	for _, l := range s.leases {
		l.timer.Stop()
	}
}

// Fail sets how the store fails from now on.
func (s *Store) Fail(o Outage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage = o
}

// Calls returns how many calls came.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Watches returns how many calls to watch came.
func (s *Store) Watches() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.watches
}

// Deafen makes watches that wait hear nothing, or hear again.
func (s *Store) Deafen(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deaf = on
}

// Compact drops the history; watches that need it get 410.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compacted, s.history = s.revision, nil
}

// Put writes a key as the operator or a member does.
func (s *Store) Put(key string, value []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.set(key, value, 0)
	s.wake()
	return s.revision
}

// Delete removes a key as a member that leaves does.
func (s *Store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, found := s.items[key]; found {
		s.revision++
		s.drop(key)
		s.wake()
	}
}

// Keys returns the keys with a prefix.
func (s *Store) Keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) {
			out = append(out, key)
		}
	}
	slices.Sort(out)
	return out
}

// set and drop change a key in the present revision, with mu held.
func (s *Store) set(key string, value []byte, lease uint64) {
	i := kvItem{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: lease}
	if old, found := s.items[key]; found {
		i.Created = old.Created
	}
	s.items[key] = i
	s.history = append(s.history, i)
}

func (s *Store) drop(key string) {
	delete(s.items, key)
	s.history = append(s.history, kvItem{Key: key, Revision: s.revision, Deleted: true})
}

func (s *Store) wake() {
	if s.deaf {
		return
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) handle(mux *http.ServeMux) {
	for path, h := range map[string]func(http.ResponseWriter, *http.Request) (int, any){
		"GET /dotterelswitch/kv-range": s.list, "GET /dotterelswitch/kv-watch": s.watch,
		"POST /dotterelswitch/kv-txn": s.txn, "POST /dotterelswitch/kv-lease": s.grant,
		"POST /dotterelswitch/kv-keep/{id}": s.keep, "DELETE /dotterelswitch/kv-lease-end/{id}": s.end,
	} {
		mux.HandleFunc(path, func(w http.ResponseWriter, r *http.Request) { s.serve(w, r, h) })
	}
}

func (s *Store) serve(w http.ResponseWriter, r *http.Request, h func(http.ResponseWriter, *http.Request) (int, any)) {
	s.mu.Lock()
	s.calls++
	if strings.HasSuffix(r.URL.Path, "/kv-watch") {
		s.watches++
	}
	outage := s.outage
	s.mu.Unlock()
	switch {
	case outage == Refusing:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case outage == Silent:
		select {
		case <-r.Context().Done():
		case <-s.closed:
		}
		return
	}
	status, body := h(w, r)
	if outage == LosingAnswers && r.Method != http.MethodGet {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(status)
	if body != nil {
		_ = json.NewEncoder(w).Encode(body)
	}
}

func (s *Store) list(_ http.ResponseWriter, r *http.Request) (int, any) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	const page = 50
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []kvItem{}
	for _, i := range s.items {
		if strings.HasPrefix(i.Key, prefix) && i.Key > after {
			items = append(items, i)
		}
	}
	slices.SortFunc(items, func(a, b kvItem) int { return strings.Compare(a.Key, b.Key) })
	more := len(items) > page
	return http.StatusOK, map[string]any{"items": items[:min(len(items), page)], "has_more": more, "at_rev": s.revision}
}

func (s *Store) watch(_ http.ResponseWriter, r *http.Request) (int, any) {
	q := r.URL.Query()
	prefix, after := q.Get("prefix"), parseNumber(q.Get("after"))
	timer := time.NewTimer(time.Duration(parseNumber(q.Get("wait_ms"))) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		if after < s.compacted {
			s.mu.Unlock()
			return http.StatusGone, nil
		}
		events := []kvItem{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, prefix) {
				events = append(events, i)
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		answer := map[string]any{"events": events, "at_rev": at}
		if len(events) > 0 {
			return http.StatusOK, answer
		}
		select {
		case <-changed:
		case <-timer.C:
			return http.StatusOK, answer
		case <-r.Context().Done():
			return http.StatusOK, answer
		case <-s.closed:
			return http.StatusServiceUnavailable, nil
		}
	}
}

func (s *Store) txn(_ http.ResponseWriter, r *http.Request) (int, any) {
	var body struct {
		Conditions []kvItem `json:"precondition"`
		Writes     []kvItem `json:"writes"`
		Deletes    []string `json:"deletes"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		return http.StatusBadRequest, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	failed := false
	current := []kvItem{}
	for _, c := range body.Conditions {
		i, found := s.items[c.Key]
		if found {
			current = append(current, i)
		}
		failed = failed || i.Revision != c.Revision
	}
	if failed {
		return http.StatusPreconditionFailed, map[string]any{"items": current}
	}
	for _, w := range body.Writes {
		if w.Lease != 0 && s.leases[w.Lease] == nil {
			return http.StatusNotFound, nil
		}
	}
	s.revision++
	for _, w := range body.Writes {
		s.set(w.Key, w.Value, w.Lease)
	}
	for _, key := range body.Deletes {
		if _, found := s.items[key]; found {
			s.drop(key)
		}
	}
	s.wake()
	return http.StatusOK, map[string]any{"revision": s.revision}
}

func (s *Store) grant(_ http.ResponseWriter, r *http.Request) (int, any) {
	var body struct {
		TTL int64 `json:"ttl_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		return http.StatusBadRequest, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	id := s.revision
	ttl := time.Duration(body.TTL) * time.Millisecond
	s.leases[id] = &lease{ttl: ttl, timer: time.AfterFunc(ttl, func() { s.EndLease(id) })}
	return http.StatusOK, map[string]any{"lease_id": id, "ttl_ms": body.TTL}
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

func (s *Store) keep(_ http.ResponseWriter, r *http.Request) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l, found := s.leases[parseNumber(r.PathValue("id"))]
	if !found {
		return http.StatusNotFound, nil
	}
	l.timer.Reset(l.ttl)
	return http.StatusOK, map[string]any{"ttl_ms": l.ttl.Milliseconds()}
}

func (s *Store) end(_ http.ResponseWriter, r *http.Request) (int, any) {
	s.EndLease(parseNumber(r.PathValue("id")))
	return http.StatusOK, map[string]any{}
}

// parseNumber reads a number; what is none counts as zero.
func parseNumber(text string) uint64 {
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0
	}
	return n
}
