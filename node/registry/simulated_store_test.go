package registry

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"time"

	"github.com/dotterelswitch/dotterelswitch/node/clock"
	"github.com/dotterelswitch/dotterelswitch/standin/lineplatform"
)

// outage is how the simulated store treats calls, the worst last.
type outage uint8

const (
	noOutage outage = iota
	// slowOutage answers each call late.
	slowOutage
	// refusingOutage breaks outstanding calls off and answers others with 503.
	refusingOutage
	// silentOutage never answers calls that are outstanding or arrive meanwhile.
	silentOutage
)

const (
	// storeLatency is the one-way time of a call to the simulated store.
	storeLatency = 3 * time.Millisecond
	// slowLatency replaces it during a slowOutage.
	slowLatency = 250 * time.Millisecond
)

var errReset = errors.New("connection reset")

// simulatedStore is the stand-in store without sockets, so that it runs in simulated
// time.
type simulatedStore struct {
	*lineplatform.Store
	handler http.Handler

	// mu guards the fields below.
	mu     sync.Mutex
	outage outage
	// lost is closed and replaced when outstanding calls lose their answers.
	lost chan struct{}
}

func newSimulatedStore() *simulatedStore {
	s := lineplatform.NewStore()
	return &simulatedStore{Store: s, handler: s.Handler(), lost: make(chan struct{})}
}

// begin starts an outage; noOutage ends it.
func (s *simulatedStore) begin(o outage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage = o
	if o == silentOutage || o == refusingOutage {
		close(s.lost)
		s.lost = make(chan struct{})
	}
}

func (s *simulatedStore) state() (outage, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.outage, s.lost
}

// answersAll reports whether the store is neither unresponsive nor refusing calls.
func (s *simulatedStore) answersAll() bool {
	o, _ := s.state()
	return o != silentOutage && o != refusingOutage
}

// storeLink is one host's HTTP transport to a simulated store.
type storeLink struct {
	store *simulatedStore
	// path is the host's own connection; calls get no answer while it is cut.
	path *link
}

// RoundTrip implements http.RoundTripper.
func (l *storeLink) RoundTrip(req *http.Request) (*http.Response, error) {
	ctx := req.Context()
	broken := l.path.broken()
	l.travel(ctx)
	o, lost := l.store.state()
	o = max(o, l.path.outageOfHost())
	switch {
	case l.path.isCut() || o == silentOutage:
		<-ctx.Done()
		return nil, ctx.Err()
	case o == refusingOutage:
		rec := httptest.NewRecorder()
		rec.Header().Set("Store-Era", strconv.FormatUint(l.store.Epoch(), 10))
		rec.WriteHeader(http.StatusServiceUnavailable)
		return rec.Result(), nil
	}
	answered := make(chan *http.Response, 1)
	go func() {
		rec := httptest.NewRecorder()
		l.store.handler.ServeHTTP(rec, req)
		answered <- rec.Result()
	}()
	select {
	case resp := <-answered:
		l.travel(ctx)
		if isClosed(broken) || isClosed(lost) || ctx.Err() != nil {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return resp, nil
	case <-broken:
		if l.path.outageOfHost() == refusingOutage {
			return nil, errReset
		}
	case <-lost:
		if o, _ := l.store.state(); o == refusingOutage {
			return nil, errReset
		}
	case <-ctx.Done():
	}
	<-ctx.Done()
	return nil, ctx.Err()
}

// travel waits for the time of one direction of a call.
func (l *storeLink) travel(ctx context.Context) {
	latency := storeLatency
	if o, _ := l.store.state(); o == slowOutage {
		latency = slowLatency
	}
	clock.Sleep(ctx, latency)
}

func isClosed(ch <-chan struct{}) bool {
	select {
	case <-ch:
		return true
	default:
		return false
	}
}

// link is a network path that can be cut, and whose connections can go silent.
type link struct {
	mu  sync.Mutex
	cut bool
	// outage is how the other end treats the calls of this path alone.
	outage outage
	// silent is closed and replaced when the open connections go silent.
	silent chan struct{}
}

func newLink() *link { return &link{silent: make(chan struct{})} }

// setCut cuts or heals the path. A cut silences the open connections for good.
func (l *link) setCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
	close(l.silent)
	l.silent = make(chan struct{})
}

// turnAway starts an outage of the other end for this path alone; noOutage ends it.
func (l *link) turnAway(o outage) {
	l.mu.Lock()
	l.outage = o
	l.mu.Unlock()
	l.setCut(false)
}

func (l *link) outageOfHost() outage {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.outage
}

func (l *link) isCut() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut
}

// broken returns a channel that is closed when the connections of now go silent.
func (l *link) broken() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.silent
}
