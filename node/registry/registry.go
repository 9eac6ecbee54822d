// Package registry keeps a host's picture of the platform's store: the
// operators' configuration, the members' entries, and the keys by which hosts
// know of each other. One watch covers all of them.
package registry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/dotterelswitch/dotterelswitch/core/catalog"
	"github.com/dotterelswitch/dotterelswitch/core/directory"
	"github.com/dotterelswitch/dotterelswitch/core/gates"
	"github.com/dotterelswitch/dotterelswitch/core/mechanism"
	"github.com/dotterelswitch/dotterelswitch/core/relay"
	"github.com/dotterelswitch/dotterelswitch/core/retry"
	"github.com/dotterelswitch/dotterelswitch/core/roster"
	"github.com/dotterelswitch/dotterelswitch/core/store"
	"github.com/dotterelswitch/dotterelswitch/core/succession"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
	"github.com/dotterelswitch/dotterelswitch/node/eventlog"
)

// Store is what a host needs of the platform's store. Failures are
// *store.Error.
type Store interface {
	Range(ctx context.Context, prefix string) (store.Listing, error)
	Watch(ctx context.Context, prefix string, after store.Revision, wait time.Duration) (store.Listing, error)
	Commit(ctx context.Context, txn store.Txn) (store.Revision, error)
	GrantLease(ctx context.Context, ttl time.Duration) (store.Grant, error)
	RenewLease(ctx context.Context, lease store.Lease) error
	EndLease(ctx context.Context, lease store.Lease) error
}

// Documents decodes what others keep in the store.
type Documents interface {
	ConfigKey() string
	MemberPrefix() string
	MemberID(key string) (string, bool)
	Catalog(data []byte) (*catalog.Catalog, error)
	Entry(i store.Item) (directory.Entry, error)
}

const (
	// watchShare is the part of the bound on a change of configuration for which
	// one watch waits. A store that drops its history may leave a watch waiting
	// that will never hear of a change; half of the bound leaves time to list
	// everything. Every call is paid for, so it is not shorter.
	watchShare = 0.5
	// defaultWait is the wait where no bound is known.
	defaultWait = 1500 * time.Millisecond
	// watchSpacing is the least time between two watches. A fleet that starts
	// makes an event a host, and each would cost every host a call.
	watchSpacing = 100 * time.Millisecond
	// standInSpacing is the same for a host that watches only until it has a relay
	// again, and standInBackoff spaces its calls to a store that is away. Nobody
	// hears of the store through it, and it asks other hosts for news as well. Load
	// pattern: the store resets all connections for 7 s, and nobody relays. With the
	// spacing of relays a host calls it 23 times in ten seconds, with this one 14
	// times, and 283 of 295 hosts are no relays.
	standInSpacing = 500 * time.Millisecond
	// listTimeout bounds a listing of the members.
	listTimeout = 3 * time.Second
	// tidyAfter is when a listing looks again for entries that were lost.
	tidyAfter = directory.Grace + 50*time.Millisecond
)

var (
	// backoff spaces the calls to a store that is away.
	backoff = retry.Backoff{Base: 100 * time.Millisecond, Max: time.Second}
	// firstBackoff spaces the first calls of a host, which serves nobody without
	// an answer. Load pattern: all hosts lose power and come back while the store
	// is away; a second more until each of them asks again is a second more
	// without service.
	firstBackoff   = retry.Backoff{Base: 50 * time.Millisecond, Max: 200 * time.Millisecond}
	standInBackoff = retry.Backoff{Base: 100 * time.Millisecond, Max: 2 * time.Second}
)

// firstCalls is how many calls are spaced by firstBackoff: about two seconds of
// them. A store that is away for longer is not asked more often than needed.
const firstCalls = 20

// Registry follows the store. It is safe for concurrent use.
type Registry struct {
	store Store
	docs  Documents
	// self is what other hosts are told of this one.
	self gates.Host
	log  zerolog.Logger
	// changed is called, without a lock, after each change.
	changed func()
	// wait is how long one watch waits.
	wait time.Duration
	// followHost follows another host; nil where hosts do not reach each other.
	followHost FollowFunc
	without    mechanism.Without
	// askConfig asks another host for its configuration; nil where hosts do not reach
	// each other.
	askConfig AskConfigFunc
	// seen tells whether the store answers.
	seen storeSeen
	// lapsed is ready when a restored store does not know this host.
	lapsed chan struct{}
	// reached is ready when the store answers after it has not, or for the first
	// time.
	reached chan struct{}

	// mu guards the fields below.
	mu      sync.Mutex
	catalog *catalog.Catalog
	// document is what the configuration in force was read from.
	document []byte
	// held is the store's newest configuration while other hosts are asked for a
	// newer one; nil while none are.
	held      *heldConfig
	directory *directory.Directory
	own       ownKeys
	roster    *roster.Roster
	// expiring tells that the roster is looked at again soon.
	expiring  bool
	listed    bool
	away      bool
	awaySince time.Duration
	revision  store.Revision
	// told is the newest revision that another host told of while the store was
	// away.
	told store.Revision
	// relays chooses the host to follow; direct tells that this host follows the
	// store itself.
	relays *relay.Relays
	direct bool
	// interrupt ends the call under way by which this host follows the store.
	interrupt context.CancelFunc
	// followed is the host that this one follows; empty while it follows none.
	followed string
	// heardAt is when the store, or the relay, last answered.
	heardAt time.Duration
	// history holds the newest changes, those after historyStart, for followers;
	// news is closed and replaced by each change.
	history      []store.Item
	historyStart store.Revision
	news         chan struct{}
	// followers counts the hosts that follow this one.
	followers  int
	newsCounts NewsCounts
	// items are all keys as they were written, for hosts that are cut off.
	items map[string]store.Item
	// unreadable holds the revisions of the entries that could not be read, so
	// that each is logged once.
	unreadable map[string]store.Revision
	lease      store.Lease
	// registeredAt is the revision of this host's registration; zero before it.
	registeredAt store.Revision
	// remembered tells that an earlier life was registered at the first listing.
	remembered bool
	recheck    bool
	leaving    bool
}

// Config is what a Registry needs from its surroundings.
type Config struct {
	Store     Store
	Documents Documents
	// Self is what other hosts are told of this one.
	Self gates.Host
	// ConfigBound is how soon a change of the configuration must be in force; zero
	// for no bound.
	ConfigBound time.Duration
	// FollowHost follows another host; nil where hosts do not reach each other.
	FollowHost FollowFunc
	// AskConfig asks another host for its configuration; nil where hosts do not reach
	// each other.
	AskConfig AskConfigFunc
	Without   mechanism.Without
	// Changed is called, without a lock, after changes.
	Changed func()
	Log     zerolog.Logger
}

// New returns a registry for a host.
func New(cfg Config) *Registry {
	wait := time.Duration(watchShare * float64(cfg.ConfigBound))
	if wait <= 0 {
		wait = defaultWait
	}
	followHost := cfg.FollowHost
	if !cfg.Without.Has(mechanism.Relays) {
		followHost = nil
	}
	return &Registry{
		store: cfg.Store, docs: cfg.Documents, self: cfg.Self, wait: wait, followHost: followHost, askConfig: cfg.AskConfig, without: cfg.Without, changed: cfg.Changed, log: cfg.Log,
		directory: directory.New(), own: newOwnKeys(), roster: roster.New(), items: map[string]store.Item{}, unreadable: map[string]store.Revision{},
		relays: relay.New(cfg.Self), direct: true, news: make(chan struct{}), reached: make(chan struct{}, 1), lapsed: make(chan struct{}, 1),
	}
}

// Run follows the store until the context ends.
func (r *Registry) Run(ctx context.Context) {
	rng := rand.New(rand.NewPCG(uint64(clock.Now()), uint64(len(r.self.Name))))
	attempt := 0
	for ctx.Err() == nil {
		host, follows := r.pickRelay()
		r.setDirect(!follows)
		if follows {
			r.followRelay(ctx, host)
			continue
		}
		err := r.follow(ctx)
		if err == nil || ctx.Err() != nil {
			attempt = 0
			continue
		}
		r.noteAway(err)
		clock.Sleep(ctx, r.spacing(attempt, err).Wait(attempt, rng))
		attempt++
	}
}

// spacing returns how calls are spaced after a number of failed ones. A store
// that is above its rate is not asked sooner by anyone.
func (r *Registry) spacing(attempt int, err error) retry.Backoff {
	if r.Catalog() == nil && attempt < firstCalls && !store.Is(err, store.Throttled) {
		return firstBackoff
	}
	if r.standsIn() {
		return standInBackoff
	}
	return backoff
}

// standsIn reports whether this host watches the store only until it has a relay.
func (r *Registry) standsIn() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.followHost != nil && r.listed && !r.relays.Serves(r.roster.Hosts())
}

func (r *Registry) setDirect(direct bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.direct = direct
}

// follow makes one call: a listing, or a watch from the last one.
func (r *Registry) follow(ctx context.Context) error {
	r.mu.Lock()
	after, listed, first := r.revision, r.listed, r.catalog == nil
	r.mu.Unlock()
	if !listed {
		list := r.listAll
		if first && r.without.Has(mechanism.HedgedListing) {
			list = r.listFirst
		}
		l, err := list(ctx)
		if err != nil {
			return err
		}
		return r.replace(l)
	}
	began := clock.Now()
	l, err := r.watch(ctx, after)
	if !r.isListed() {
		return nil
	}
	if store.Is(err, store.Compacted) || store.Is(err, store.Restored) {
		r.forgetRevision(err)
		return nil
	}
	if err != nil {
		return err
	}
	r.apply(l)
	spacing := watchSpacing
	if r.standsIn() {
		spacing = standInSpacing
	}
	if took := clock.Now() - began; took < spacing {
		clock.Sleep(ctx, spacing-took)
	}
	return nil
}

// watch waits for changes of the store, or until hearOfEpoch interrupts it.
func (r *Registry) watch(ctx context.Context, after store.Revision) (store.Listing, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.mu.Lock()
	r.interrupt = cancel
	r.mu.Unlock()
	return r.store.Watch(ctx, "", after, r.wait)
}

func (r *Registry) isListed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.listed
}

// hearOfEpoch has the store listed again if it has returned from an older copy
// since this host last heard of it. A watch that waits may not tell. It is called
// with mu held.
func (r *Registry) hearOfEpoch(epoch store.Epoch) {
	if !r.direct || !r.listed || epoch <= r.revision.Epoch() {
		return
	}
	r.listed = false
	if r.interrupt != nil {
		r.interrupt()
	}
}

func (r *Registry) listAll(ctx context.Context) (store.Listing, error) {
	return r.store.Range(ctx, "")
}

// forgetRevision has everything listed again, because a watch from the revision that
// this host has heard of fails.
func (r *Registry) forgetRevision(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listed = false
	eventlog.HistoryLost.Info(r.log).Err(err).Stringer("revision", r.revision).Send()
}

// Catalog returns the configuration in force, or nil.
func (r *Registry) Catalog() *catalog.Catalog {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.catalog
}

// Groups returns the members of all services by service.
func (r *Registry) Groups() map[string][]directory.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[string][]directory.Member{}
	for _, m := range r.directory.Members() {
		out[m.Service] = append(out[m.Service], m)
	}
	return out
}

// Suspecting returns the hosts that report a member as dead.
func (r *Registry) Suspecting(service, member string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.own.suspecting(service, member)
}

// LockOf returns the promotion lock of a service.
func (r *Registry) LockOf(service string) succession.Lock {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.own.locks[service]
}

// Away reports whether this host does not reach the store at present.
func (r *Registry) Away() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.away
}
