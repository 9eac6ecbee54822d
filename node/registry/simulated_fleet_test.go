package registry

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/dotterelswitch/dotterelswitch/core/gates"
	"github.com/dotterelswitch/dotterelswitch/core/peerpoll"
	"github.com/dotterelswitch/dotterelswitch/core/store"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
	"github.com/dotterelswitch/dotterelswitch/platform"
)

const (
	// peerLatency is the time of one message between hosts.
	peerLatency = 8 * time.Millisecond
	// simulatedCallTimeout bounds one call to the simulated store.
	simulatedCallTimeout = 1500 * time.Millisecond
)

// simulatedHost is a host of a simulated fleet: a registry that is started and killed,
// and whose links to the store and to other hosts can be cut.
type simulatedHost struct {
	fleet     *simulatedFleet
	self      gates.Host
	storePath *link
	peerPath  *link

	// The test's goroutine writes the fields below; mu guards them for peers.
	mu       sync.Mutex
	registry *Registry
	ctx      context.Context
	cancel   context.CancelFunc
	// calmSince is when the last disruption of the host ended.
	calmSince time.Duration
}

// simulatedFleet is a store and the hosts that use it.
type simulatedFleet struct {
	store       *simulatedStore
	maxApply    time.Duration
	startedAt   time.Time
	hosts       map[string]*simulatedHost
	log         zerolog.Logger
	outstanding sync.WaitGroup
}

// simulatedStart is the time of the simulated clock at its start. It is not zero, which
// registries take for never.
const simulatedStart = time.Hour

// newSimulatedFleet returns a fleet whose hosts are not started yet.
func newSimulatedFleet(hosts, zones int, maxApply time.Duration, log zerolog.Logger) *simulatedFleet {
	f := &simulatedFleet{store: newSimulatedStore(), maxApply: maxApply, startedAt: time.Now(), hosts: map[string]*simulatedHost{}, log: log}
	for n := range hosts {
		name := fmt.Sprintf("host-%02d", n)
		f.hosts[name] = &simulatedHost{
			fleet: f, self: gates.Host{Name: name, Zone: fmt.Sprint("zone-", n%zones), Address: name},
			storePath: newLink(), peerPath: newLink(),
		}
	}
	return f
}

func (f *simulatedFleet) now() time.Duration { return simulatedStart + time.Since(f.startedAt) }

// configure writes a version of the configuration to the store.
func (f *simulatedFleet) configure(version uint64) {
	f.store.Put(platform.KeyConfig, fmt.Appendf(nil, `{"version":%d,"routes":[],"services":[]}`, version))
}

// start starts a new process of the host.
func (h *simulatedHost) start() {
	f := h.fleet
	r := New(Config{
		Store:     platform.NewStoreClient("store", &http.Client{Transport: &storeLink{store: f.store, path: h.storePath}}, simulatedCallTimeout),
		Documents: platform.Documents{}, Self: h.self, MaxConfigApplyTime: f.maxApply, FollowHost: h.follow, FetchConfig: h.fetchConfig, FetchSnapshot: h.fetchSnapshot,
		Now: f.now, Changed: func() {}, Log: f.log.With().Str("host", h.self.Name).Logger(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	h.mu.Lock()
	h.registry, h.ctx, h.cancel, h.calmSince = r, ctx, cancel, f.now()
	h.mu.Unlock()
	f.outstanding.Go(func() { r.Run(ctx) })
	f.outstanding.Go(func() { r.KeepRegistered(ctx) })
	f.outstanding.Go(func() { r.PollPeers(ctx, h.askProgress, h.fetchListing) })
}

// kill ends the process without notice.
func (h *simulatedHost) kill() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.registry != nil {
		h.cancel()
	}
	h.registry = nil
}

// process returns the running registry, nil if there is none, and its context.
func (h *simulatedHost) process() (*Registry, context.Context) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.registry, h.ctx
}

// disturbed records a disruption of the host.
func (h *simulatedHost) disturbed() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.calmSince = h.fleet.now()
}

var errPeerDown = errors.New("the peer is down")

// call runs a call to the host at an address, which gets no answer over a cut link.
func (h *simulatedHost) call(ctx context.Context, address string, do func(ctx context.Context, r *Registry) error) error {
	peer := h.fleet.hosts[address]
	if !clock.Sleep(ctx, peerLatency) {
		return ctx.Err()
	}
	if h.cutFrom(address) {
		<-ctx.Done()
		return ctx.Err()
	}
	r, running := peer.process()
	if r == nil {
		return errPeerDown
	}
	callCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(running, cancel)()
	return do(callCtx, r)
}

// cutFrom reports whether messages to the host at an address are lost now.
func (h *simulatedHost) cutFrom(address string) bool {
	return h.peerPath.isCut() || h.fleet.hosts[address].peerPath.isCut()
}

func (h *simulatedHost) follow(ctx context.Context, address string, after store.Revision, changesOnly bool, apply func(Update)) error {
	return h.call(ctx, address, func(streamCtx context.Context, r *Registry) error {
		silent := h.peerPath.broken()
		err := r.StreamUpdates(streamCtx, after, changesOnly, func(u Update) error {
			if !clock.Sleep(streamCtx, peerLatency) {
				return streamCtx.Err()
			}
			if isClosed(silent) || h.cutFrom(address) {
				<-streamCtx.Done()
				return streamCtx.Err()
			}
			apply(u)
			return nil
		})
		if streamCtx.Err() == nil && !errors.Is(err, ErrChangesMissing) {
			return &RelayRefusedError{Err: err}
		}
		return err
	})
}

func (h *simulatedHost) fetchConfig(ctx context.Context, address string, above uint64) ([]byte, error) {
	var document []byte
	err := h.call(ctx, address, func(ctx context.Context, r *Registry) error {
		document = r.ConfigDocument(above)
		return h.awaitAnswer(ctx, address)
	})
	return document, err
}

func (h *simulatedHost) fetchSnapshot(ctx context.Context, address string) (store.Listing, error) {
	var l store.Listing
	err := h.call(ctx, address, func(ctx context.Context, r *Registry) error {
		var err error
		if l, err = r.Snapshot(); err != nil {
			return err
		}
		return h.awaitAnswer(ctx, address)
	})
	return l, err
}

func (h *simulatedHost) askProgress(ctx context.Context, address string) (*peerpoll.Progress, error) {
	var p peerpoll.Progress
	err := h.call(ctx, address, func(ctx context.Context, r *Registry) error {
		p = r.Progress()
		return h.awaitAnswer(ctx, address)
	})
	return &p, err
}

func (h *simulatedHost) fetchListing(ctx context.Context, address string, above store.Revision) (store.Listing, error) {
	var l store.Listing
	err := h.call(ctx, address, func(ctx context.Context, r *Registry) error {
		l = r.Listing(above)
		return h.awaitAnswer(ctx, address)
	})
	return l, err
}

// awaitAnswer waits for the time of an answer, which a cut link loses.
func (h *simulatedHost) awaitAnswer(ctx context.Context, address string) error {
	if clock.Sleep(ctx, peerLatency) && !h.cutFrom(address) {
		return nil
	}
	<-ctx.Done()
	return ctx.Err()
}

// stop ends all processes and waits for their goroutines.
func (f *simulatedFleet) stop() {
	for _, h := range f.hosts {
		h.kill()
	}
	f.store.Close()
	f.outstanding.Wait()
}
