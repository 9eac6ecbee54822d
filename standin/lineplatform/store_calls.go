package lineplatform

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// pageSize is how many keys one answer to a listing holds; few, so that
// listings of small deployments have several pages.
const pageSize = 50

// storeCall carries out one call and returns the status and the body.
type storeCall func(r *http.Request) (int, any)

// listAnswer is one page of a listing.
type listAnswer struct {
	Items    []kvItem `json:"items"`
	HasMore  bool     `json:"has_more"`
	Revision uint64   `json:"at_rev"`
}

// watchAnswer is what a watch has seen.
type watchAnswer struct {
	Events   []kvItem `json:"events"`
	Revision uint64   `json:"at_rev"`
}

// txnBody is a conditional change.
type txnBody struct {
	Conditions []kvItem `json:"precondition"`
	Writes     []kvItem `json:"writes"`
	Deletes    []string `json:"deletes"`
}

// txnAnswer answers a change that was made.
type txnAnswer struct {
	Revision uint64 `json:"revision"`
}

// txnConflict answers a change whose conditions did not hold.
type txnConflict struct {
	Items []kvItem `json:"items"`
}

func (s *Store) handle(mux *http.ServeMux) {
	for path, call := range map[string]storeCall{
		"GET /dotterelswitch/kv-range": s.list, "GET /dotterelswitch/kv-watch": s.watch,
		"POST /dotterelswitch/kv-txn": s.txn, "POST /dotterelswitch/kv-lease": s.grant,
		"POST /dotterelswitch/kv-keep/{id}": s.keep, "DELETE /dotterelswitch/kv-lease-end/{id}": s.end,
	} {
		mux.HandleFunc(path, func(w http.ResponseWriter, r *http.Request) { s.serve(w, r, call) })
	}
}

func (s *Store) serve(w http.ResponseWriter, r *http.Request, call storeCall) {
	switch outage := s.count(r); {
	case outage == Refusing:
		w.Header().Set("Store-Era", strconv.FormatUint(s.Era(), 10))
		w.WriteHeader(http.StatusServiceUnavailable)
	case outage == Silent:
		select {
		case <-r.Context().Done():
		case <-s.closed:
		}
	case outage == LosingAnswers && r.Method != http.MethodGet:
		call(r)
		panic(http.ErrAbortHandler)
	default:
		s.answer(w, r, call)
	}
}

// count counts a call and returns how the store fails at present.
func (s *Store) count(r *http.Request) Outage {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if strings.HasSuffix(r.URL.Path, "/kv-watch") {
		s.watches++
	}
	return s.outage
}

func (s *Store) answer(w http.ResponseWriter, r *http.Request, call storeCall) {
	status, body := call(r)
	w.Header().Set("Store-Era", strconv.FormatUint(s.Era(), 10))
	w.WriteHeader(status)
	if body != nil {
		// A caller that has hung up does not read its answer.
		_ = json.NewEncoder(w).Encode(body)
	}
}

func (s *Store) list(r *http.Request) (int, any) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []kvItem{}
	for _, i := range s.items {
		if strings.HasPrefix(i.Key, prefix) && i.Key > after {
			items = append(items, i)
		}
	}
	slices.SortFunc(items, func(a, b kvItem) int { return strings.Compare(a.Key, b.Key) })
	more := len(items) > pageSize
	return http.StatusOK, listAnswer{Items: items[:min(len(items), pageSize)], HasMore: more, Revision: s.revision}
}

func (s *Store) watch(r *http.Request) (int, any) {
	q := r.URL.Query()
	after, err := number(q.Get("after"))
	if err != nil {
		return http.StatusBadRequest, nil
	}
	wait, err := number(q.Get("wait_ms"))
	if err != nil {
		return http.StatusBadRequest, nil
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		answer, changed, kept := s.since(q.Get("prefix"), after)
		if !kept {
			return http.StatusGone, nil
		}
		if len(answer.Events) > 0 {
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

// since returns the changes after a revision, and a channel that is closed by
// the next one. It returns false when the history does not reach back so far, or
// not up to the revision.
func (s *Store) since(prefix string, after uint64) (watchAnswer, <-chan struct{}, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	answer := watchAnswer{Events: []kvItem{}, Revision: s.revision}
	for _, i := range s.history {
		if i.Revision > after && strings.HasPrefix(i.Key, prefix) {
			answer.Events = append(answer.Events, i)
		}
	}
	return answer, s.changed, after >= s.compacted && after <= s.revision
}

func (s *Store) txn(r *http.Request) (int, any) {
	var body txnBody
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		return http.StatusBadRequest, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if current, hold := s.check(body.Conditions); !hold {
		return http.StatusPreconditionFailed, txnConflict{Items: current}
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
	return http.StatusOK, txnAnswer{Revision: s.revision}
}

// check returns the present state of the conditions' keys, and whether all
// conditions hold. It is called with mu held.
func (s *Store) check(conditions []kvItem) ([]kvItem, bool) {
	hold := true
	current := []kvItem{}
	for _, c := range conditions {
		i, found := s.items[c.Key]
		if found {
			current = append(current, i)
		}
		hold = hold && i.Revision == c.Revision
	}
	return current, hold
}

// number reads a number of a call.
func number(text string) (uint64, error) { return strconv.ParseUint(text, 10, 64) }
