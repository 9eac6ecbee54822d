package lineplatform

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// pageSize is how many keys one page of a listing holds. It is small so that listings
// of small deployments have several pages.
const pageSize = 50

// maxPageBytes limits the values of a page; one is returned in any case.
const maxPageBytes = 1_000_000

// storeHandler executes one call and returns the HTTP status and the JSON body.
type storeHandler func(r *http.Request) (int, any)

// listResponse is one page of a listing.
type listResponse struct {
	Items    []kvItem `json:"items"`
	HasMore  bool     `json:"has_more"`
	Revision uint64   `json:"at_rev"`
}

// watchResponse holds the changes that a watch found.
type watchResponse struct {
	Events   []kvItem `json:"events"`
	Revision uint64   `json:"at_rev"`
}

// txnBody is the request of a conditional transaction.
type txnBody struct {
	Preconditions []kvItem `json:"precondition"`
	Writes        []kvItem `json:"writes"`
	Deletes       []string `json:"deletes"`
}

// txnResponse is the answer to a committed transaction.
type txnResponse struct {
	Revision uint64 `json:"revision"`
}

// txnConflict is the answer to a transaction whose preconditions did not hold.
type txnConflict struct {
	Items []kvItem `json:"items"`
}

// Handler serves the store's API.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	s.registerHandlers(mux)
	return mux
}

func (s *Store) registerHandlers(mux *http.ServeMux) {
	for pattern, handler := range map[string]storeHandler{
		"GET /dotterelswitch/kv-range": s.list, "GET /dotterelswitch/kv-watch": s.watch,
		"POST /dotterelswitch/kv-txn": s.txn, "POST /dotterelswitch/kv-lease": s.grantLease,
		"POST /dotterelswitch/kv-keep/{id}": s.renewLease, "DELETE /dotterelswitch/kv-lease-end/{id}": s.revokeLease,
	} {
		mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) { s.serve(w, r, handler) })
	}
}

// serve handles a call according to the failure mode.
func (s *Store) serve(w http.ResponseWriter, r *http.Request, handler storeHandler) {
	switch mode := s.countCall(r); {
	case mode == Unavailable:
		w.Header().Set("Store-Era", strconv.FormatUint(s.Epoch(), 10))
		w.WriteHeader(http.StatusServiceUnavailable)
	case mode == Unresponsive:
		select {
		case <-r.Context().Done():
		case <-s.closed:
		}
	case mode == DroppingAnswers && r.Method != http.MethodGet:
		handler(r)
		panic(http.ErrAbortHandler)
	default:
		s.respond(w, r, handler)
	}
}

// countCall counts a call and returns the current failure mode.
func (s *Store) countCall(r *http.Request) FailureMode {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.callCount++
	if strings.HasSuffix(r.URL.Path, "/kv-watch") {
		s.watchCallCount++
	}
	return s.failureMode
}

func (s *Store) respond(w http.ResponseWriter, r *http.Request, handler storeHandler) {
	status, body := handler(r)
	w.Header().Set("Store-Era", strconv.FormatUint(s.Epoch(), 10))
	w.WriteHeader(status)
	if body != nil {
		// Encoding fails only if the client has closed the connection.
		_ = json.NewEncoder(w).Encode(body)
	}
}

func (s *Store) list(r *http.Request) (int, any) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []kvItem{}
	for _, item := range s.items {
		if strings.HasPrefix(item.Key, prefix) && item.Key > after {
			items = append(items, item)
		}
	}
	slices.SortFunc(items, func(a, b kvItem) int { return strings.Compare(a.Key, b.Key) })
	page := firstPage(items)
	return http.StatusOK, listResponse{Items: page, HasMore: len(page) < len(items), Revision: s.revision}
}

// firstPage returns the items that fit into one page.
func firstPage(items []kvItem) []kvItem {
	size := 0
	for n, item := range items {
		size += len(item.Value)
		if n == pageSize || n > 0 && size > maxPageBytes {
			return items[:n]
		}
	}
	return items
}

func (s *Store) watch(r *http.Request) (int, any) {
	query := r.URL.Query()
	after, err := parseUint(query.Get("after"))
	if err != nil {
		return http.StatusBadRequest, nil
	}
	waitMS, err := parseUint(query.Get("wait_ms"))
	if err != nil {
		return http.StatusBadRequest, nil
	}
	timer := time.NewTimer(time.Duration(waitMS) * time.Millisecond)
	defer timer.Stop()
	for {
		response, changed, retained := s.changesSince(query.Get("prefix"), after)
		if !retained {
			return http.StatusGone, nil
		}
		if len(response.Events) > 0 {
			return http.StatusOK, response
		}
		select {
		case <-changed:
		case <-timer.C:
			return http.StatusOK, response
		case <-r.Context().Done():
			return http.StatusOK, response
		case <-s.closed:
			return http.StatusServiceUnavailable, nil
		}
	}
}

// changesSince returns the changes after a revision, and a channel that is closed by
// the next change. It returns false if the history no longer covers the revision, or
// the store has not reached it.
func (s *Store) changesSince(prefix string, after uint64) (watchResponse, <-chan struct{}, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	response := watchResponse{Events: []kvItem{}, Revision: s.revision}
	for _, change := range s.history {
		if change.Revision > after && strings.HasPrefix(change.Key, prefix) {
			response.Events = append(response.Events, change)
		}
	}
	return response, s.changeSignal, after >= s.compactedRevision && after <= s.revision
}

func (s *Store) txn(r *http.Request) (int, any) {
	var body txnBody
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		return http.StatusBadRequest, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if current, ok := s.checkPreconditions(body.Preconditions); !ok {
		return http.StatusPreconditionFailed, txnConflict{Items: current}
	}
	for _, w := range body.Writes {
		if w.LeaseID != 0 && s.leases[w.LeaseID] == nil {
			return http.StatusNotFound, nil
		}
	}
	s.revision++
	for _, w := range body.Writes {
		s.set(w.Key, w.Value, w.LeaseID)
	}
	for _, key := range body.Deletes {
		if _, found := s.items[key]; found {
			s.remove(key)
		}
	}
	s.notifyWatches()
	return http.StatusOK, txnResponse{Revision: s.revision}
}

// checkPreconditions returns the current items of the preconditions' keys, and
// whether all preconditions hold. The caller holds mu.
func (s *Store) checkPreconditions(preconditions []kvItem) ([]kvItem, bool) {
	ok := true
	current := []kvItem{}
	for _, precondition := range preconditions {
		item, found := s.items[precondition.Key]
		if found {
			current = append(current, item)
		}
		ok = ok && item.Revision == precondition.Revision
	}
	return current, ok
}

func parseUint(text string) (uint64, error) { return strconv.ParseUint(text, 10, 64) }
