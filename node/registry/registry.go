// Package registry keeps a host's local copy of the platform's store: the
// configuration, the members' entries, and the keys that hosts write for each other
// (registrations, suspicions, promotion locks). One watch covers all of them. In a
// large fleet only some hosts watch the store; they relay changes to the others.
package registry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/dotterelswitch/dotterelswitch/core/catalog"
	"github.com/dotterelswitch/dotterelswitch/core/directory"
	"github.com/dotterelswitch/dotterelswitch/core/feature"
	"github.com/dotterelswitch/dotterelswitch/core/gates"
	"github.com/dotterelswitch/dotterelswitch/core/peerpoll"
	"github.com/dotterelswitch/dotterelswitch/core/relay"
	"github.com/dotterelswitch/dotterelswitch/core/roster"
	"github.com/dotterelswitch/dotterelswitch/core/store"
	"github.com/dotterelswitch/dotterelswitch/core/storelink"
	"github.com/dotterelswitch/dotterelswitch/core/succession"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
	"github.com/dotterelswitch/dotterelswitch/node/eventlog"
)

// Store is the client of the platform's store. Failures are *store.Error.
type Store interface {
	// Range lists all keys with a prefix. The listing may take many calls; onPage, unless
	// it is nil, is called after each answer with whether more follow. The next call waits
	// for its return.
	Range(ctx context.Context, prefix string, onPage func(more bool)) (store.Listing, error)
	Watch(ctx context.Context, prefix string, after store.Revision, wait time.Duration) (store.Listing, error)
	Commit(ctx context.Context, txn store.Txn) (store.Revision, error)
	GrantLease(ctx context.Context, ttl time.Duration) (store.Grant, error)
	RenewLease(ctx context.Context, lease store.Lease) error
	EndLease(ctx context.Context, lease store.Lease) error
}

// Documents decodes the keys and values that the platform writes to the store.
type Documents interface {
	ConfigKey() string
	MemberPrefix() string
	MemberID(key string) (string, bool)
	Catalog(data []byte) (*catalog.Catalog, error)
	Entry(i store.Item) (directory.Entry, error)
}

// Registry keeps a local copy of the store. It is safe for concurrent use.
type Registry struct {
	store Store
	docs  Documents
	self  gates.Host
	log   zerolog.Logger
	// now returns the time since an arbitrary start; it is never zero.
	now func() time.Duration
	// changed is called, without a lock, after each change.
	changed func()
	// pacing spaces the calls to the store.
	pacing storelink.Pacing
	// followHost receives changes from a relay; nil disables relays.
	followHost FollowFunc
	features   feature.Set
	// validAddress reports whether another host can be called at an address.
	validAddress func(address string) bool
	// fetchConfig fetches the configuration of another host; nil disables it.
	fetchConfig FetchConfigFunc
	// fetchSnapshot fetches another host's copy of the store; nil disables it.
	fetchSnapshot FetchSnapshotFunc
	// lastAnswered records the latest call that the store has answered.
	lastAnswered lastAnsweredCall
	// registrationLost is signalled when a restored store lacks this host's
	// registration.
	registrationLost chan struct{}
	// fleetSizeKnown is signalled after the first listing if the lease is too short for
	// the fleet.
	fleetSizeKnown chan struct{}
	// sourcesDue is signalled when the record of this host's zone may have to be written.
	sourcesDue chan struct{}
	// storeReached is signalled when the store answers for the first time or again
	// after an outage.
	storeReached chan struct{}

	// logBudget limits lines about what others have written.
	logBudget *eventlog.RateLimiter
	// leftOutScheduled is set while a timer for logUnreadableLeftOut runs.
	leftOutScheduled atomic.Bool

	// mu guards the fields below.
	mu      sync.Mutex
	catalog *catalog.Catalog
	// configDocument is the encoded form of catalog.
	configDocument []byte
	// pendingConfig is the store's newest configuration while other hosts are asked
	// for a newer one; nil otherwise.
	pendingConfig *pendingConfig
	directory     *directory.Directory
	coordination  coordinationKeys
	roster        *roster.Roster
	// fleet is the latest snapshot of roster; nil after a change.
	fleet *fleetSnapshot
	// changes holds what has changed since the last call of TakeChanges.
	changes Changes
	// expiryScheduled is set while a timer for expireHosts runs.
	expiryScheduled bool
	// link tracks how the local copy is kept up to date.
	link     *storelink.Link
	revision store.Revision
	// peerRevision is the newest revision that was learned from another host while
	// the store was unreachable.
	peerRevision store.Revision
	// relaySelector chooses the relay to follow.
	relaySelector *relay.Selector
	// cancelWatch cancels the watch in progress.
	cancelWatch context.CancelFunc
	// history holds the changes after historyStart, for followers.
	history      []store.Item
	historyStart store.Revision
	// historyChanged is closed and replaced at each change of the history.
	historyChanged chan struct{}
	followers      int
	updateCounts   UpdateCounts
	// items holds all keys as they were written, for followers and for hosts that do
	// not reach the store.
	items map[string]store.Item
	// unreadable holds the revisions of entries and registrations that could not be
	// decoded, so that each is logged once.
	unreadable map[string]store.Revision
	lease      store.Lease
	// leaseTTL is the time for which lease was requested.
	leaseTTL time.Duration
	// leaseEnd is the earliest time at which the lease may end; zero before the first one.
	leaseEnd time.Duration
	// survey holds what other hosts have told of the store while it does not answer this
	// one.
	survey peerpoll.Survey
	// registeredAt is the revision of this process's registration; zero before it.
	registeredAt store.Revision
	// registeredAtStart is set if the first listing had a registration of an earlier
	// process of this host.
	registeredAtStart bool
	// relistScheduled is set while a timer for relistMembers runs.
	relistScheduled bool
	leaving         bool
}

// Config holds the settings and dependencies of a Registry.
type Config struct {
	Store     Store
	Documents Documents
	Self      gates.Host
	// MaxConfigApplyTime is the time within which a configuration change must be
	// active; zero for the default of storelink.NewPacing.
	MaxConfigApplyTime time.Duration
	// FollowHost receives changes from a relay; nil disables relays.
	FollowHost FollowFunc
	// ValidAddress reports whether another host can be called at an address. Registrations
	// with another one are ignored; nil accepts all that are not empty.
	ValidAddress func(address string) bool
	// FetchConfig fetches the configuration of another host; nil disables it.
	FetchConfig FetchConfigFunc
	// FetchSnapshot fetches another host's copy of the store; nil disables it.
	FetchSnapshot FetchSnapshotFunc
	Features      feature.Set
	// Now returns the time since an arbitrary start; it is never zero. Nil uses
	// clock.Now.
	Now func() time.Duration
	// Changed is called, without a lock, after each change.
	Changed func()
	Log     zerolog.Logger
}

func New(cfg Config) *Registry {
	followHost := cfg.FollowHost
	if !cfg.Features.Enabled(feature.Relays) {
		followHost = nil
	}
	fetchSnapshot := cfg.FetchSnapshot
	if !cfg.Features.Enabled(feature.Snapshots) {
		fetchSnapshot = nil
	}
	now := cfg.Now
	if now == nil {
		now = clock.Now
	}
	validAddress := cfg.ValidAddress
	if validAddress == nil {
		validAddress = func(address string) bool { return address != "" }
	}
	return &Registry{
		validAddress: validAddress,
		now:          now, pacing: storelink.NewPacing(cfg.MaxConfigApplyTime),
		store: cfg.Store, docs: cfg.Documents, self: cfg.Self, followHost: followHost, fetchConfig: cfg.FetchConfig, fetchSnapshot: fetchSnapshot, features: cfg.Features, changed: cfg.Changed, log: cfg.Log,
		directory: directory.New(), coordination: newCoordinationKeys(), roster: roster.New(), items: map[string]store.Item{}, unreadable: map[string]store.Revision{},
		logBudget: eventlog.NewRateLimiter(), relaySelector: relay.New(cfg.Self), link: storelink.New(), historyChanged: make(chan struct{}), storeReached: make(chan struct{}, 1), registrationLost: make(chan struct{}, 1), fleetSizeKnown: make(chan struct{}, 1), sourcesDue: make(chan struct{}, 1), leaseTTL: roster.LeaseTTL(0),
	}
}

// Catalog returns the active configuration, or nil.
func (r *Registry) Catalog() *catalog.Catalog {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.catalog
}

// MembersOf returns the members of a service, sorted by ID.
func (r *Registry) MembersOf(service string) []directory.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.directory.MembersOf(service)
}

// HasMembers reports whether a member of any service is known.
func (r *Registry) HasMembers() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.directory.Len() > 0
}

// ServiceCount returns the number of services that have members.
func (r *Registry) ServiceCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.directory.ServiceCount()
}

// HostsReportingDead returns the hosts that report a member as dead.
func (r *Registry) HostsReportingDead(service, member string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.coordination.hostsReportingDead(service, member)
}

// LockOf returns the promotion lock of a service; the zero Lock if nobody holds it.
func (r *Registry) LockOf(service string) succession.Lock {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.coordination.locks[service]
}

// StoreUnreachable reports whether a call to the store has failed and neither the
// store nor a relay has sent data since.
func (r *Registry) StoreUnreachable() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.link.Unreachable()
}
