// Package registry keeps a host's picture of the platform's store: the
// operators' configuration, the members' entries, and the keys by which hosts
// know of each other. One watch covers all of them.
package registry

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/dotterelswitch/dotterelswitch/core/catalog"
	"github.com/dotterelswitch/dotterelswitch/core/directory"
	"github.com/dotterelswitch/dotterelswitch/core/gates"
	"github.com/dotterelswitch/dotterelswitch/core/mechanism"
	"github.com/dotterelswitch/dotterelswitch/core/relay"
	"github.com/dotterelswitch/dotterelswitch/core/roster"
	"github.com/dotterelswitch/dotterelswitch/core/store"
	"github.com/dotterelswitch/dotterelswitch/core/succession"
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
	without    mechanism.Disabled
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
	relays *relay.Selector
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
	Without   mechanism.Disabled
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
	if !cfg.Without.Enabled(mechanism.Relays) {
		followHost = nil
	}
	return &Registry{
		store: cfg.Store, docs: cfg.Documents, self: cfg.Self, wait: wait, followHost: followHost, askConfig: cfg.AskConfig, without: cfg.Without, changed: cfg.Changed, log: cfg.Log,
		directory: directory.New(), own: newOwnKeys(), roster: roster.New(), items: map[string]store.Item{}, unreadable: map[string]store.Revision{},
		relays: relay.New(cfg.Self), direct: true, news: make(chan struct{}), reached: make(chan struct{}, 1), lapsed: make(chan struct{}, 1),
	}
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
