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
	"github.com/dotterelswitch/dotterelswitch/core/retry"
	"github.com/dotterelswitch/dotterelswitch/core/store"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
	"github.com/dotterelswitch/dotterelswitch/node/eventlog"
)

// Store is what a host needs of the platform's store. Failures are
// *store.Error.
type Store interface {
	Range(ctx context.Context, prefix string) (store.Listing, error)
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (store.Listing, error)
	Commit(ctx context.Context, txn store.Txn) (uint64, error)
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
	// listTimeout bounds a listing of the members.
	listTimeout = 3 * time.Second
	// tidyAfter is when a listing looks again for entries that were lost.
	tidyAfter = directory.Grace + 50*time.Millisecond
)

// backoff spaces the calls to a store that is away.
var backoff = retry.Backoff{Base: 100 * time.Millisecond, Max: time.Second}

// Registry follows the store. It is safe for concurrent use.
type Registry struct {
	store Store
	docs  Documents
	host  string
	// self is what other hosts are told of this one.
	self gates.Host
	log  zerolog.Logger
	// changed is called, without a lock, after each change.
	changed func()
	// wait is how long one watch waits.
	wait time.Duration

	// mu guards the fields below.
	mu        sync.Mutex
	catalog   *catalog.Catalog
	directory *directory.Directory
	own       ownKeys
	listed    bool
	away      bool
	awaySince time.Duration
	revision  uint64
	// relayed is the newest revision that another host told of.
	relayed uint64
	// items are all keys as they were written, for hosts that are cut off.
	items   map[string]store.Item
	lease   store.Lease
	recheck bool
	leaving bool
}

// New returns a registry for a host. ConfigBound is how soon a change of the
// configuration must be in force; zero for no bound. Changed is called after
// changes.
func New(s Store, docs Documents, self gates.Host, configBound time.Duration, changed func(), log zerolog.Logger) *Registry {
	wait := time.Duration(watchShare * float64(configBound))
	if wait <= 0 {
		wait = defaultWait
	}
	return &Registry{
		store: s, docs: docs, host: self.Name, self: self, wait: wait, changed: changed, log: log,
		directory: directory.New(), own: newOwnKeys(), items: map[string]store.Item{},
	}
}

// Run follows the store until the context ends.
func (r *Registry) Run(ctx context.Context) {
	rng := rand.New(rand.NewPCG(uint64(clock.Now()), uint64(len(r.host))))
	attempt := 0
	for ctx.Err() == nil {
		err := r.follow(ctx)
		if err == nil || ctx.Err() != nil {
			attempt = 0
			continue
		}
		if store.Is(err, store.Compacted) {
			r.forgetRevision()
			continue
		}
		r.noteAway(err)
		sleep(ctx, backoff.Wait(attempt, rng))
		attempt++
	}
}

// follow makes one call: a listing, or a watch from the last one.
func (r *Registry) follow(ctx context.Context) error {
	r.mu.Lock()
	after, listed := r.revision, r.listed
	r.mu.Unlock()
	if !listed {
		l, err := r.store.Range(ctx, "")
		if err != nil {
			return err
		}
		r.replace(l)
		return nil
	}
	began := clock.Now()
	l, err := r.store.Watch(ctx, "", after, r.wait)
	if err != nil {
		return err
	}
	r.apply(l)
	if took := clock.Now() - began; took < watchSpacing {
		sleep(ctx, watchSpacing-took)
	}
	return nil
}

// forgetRevision has everything listed again.
func (r *Registry) forgetRevision() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listed = false
	eventlog.HistoryLost.Info(r.log).Uint64("revision", r.revision).Send()
}

func (r *Registry) noteAway(err error) {
	r.mu.Lock()
	was := r.away
	r.away = true
	if !was {
		r.awaySince = clock.Now()
	}
	r.mu.Unlock()
	if !was {
		eventlog.PlatformUnreached.Warn(r.log).Err(err).Send()
	}
}

// noteBack is called with mu held.
func (r *Registry) noteBack() {
	if r.away {
		r.away = false
		eventlog.PlatformReached.Info(r.log).Uint64("revision", r.revision).Send()
	}
}

// replace takes a complete listing.
func (r *Registry) replace(l store.Listing) {
	now := clock.Now()
	r.mu.Lock()
	r.noteBack()
	r.own = newOwnKeys()
	clear(r.items)
	var entries []directory.Entry
	for _, i := range l.Items {
		r.remember(i)
		if e, ok := r.decodeEntry(i); ok {
			entries = append(entries, e)
			continue
		}
		r.takeItem(i)
	}
	r.directory.Replace(entries, l.Revision, now)
	r.expire(now)
	r.revision, r.listed = l.Revision, true
	r.mu.Unlock()
	r.changed()
}

// apply takes the events of a watch.
func (r *Registry) apply(l store.Listing) {
	now := clock.Now()
	r.mu.Lock()
	r.noteBack()
	r.revision = max(r.revision, l.Revision)
	for _, i := range l.Items {
		r.remember(i)
		if id, ok := r.docs.MemberID(i.Key); ok {
			r.takeMember(id, i, now)
			continue
		}
		r.takeItem(i)
	}
	r.scheduleRecheck()
	r.mu.Unlock()
	if len(l.Items) > 0 {
		r.changed()
	}
}

func (r *Registry) takeMember(id string, i store.Item, now time.Duration) {
	if i.Deleted {
		r.directory.Lose(id, i.Revision, now)
		return
	}
	if e, ok := r.decodeEntry(i); ok {
		r.directory.Put(e, now)
	}
}

// decodeEntry decodes a member's entry; it reports false for other keys and
// for entries that cannot be read, which are logged.
func (r *Registry) decodeEntry(i store.Item) (directory.Entry, bool) {
	if _, ok := r.docs.MemberID(i.Key); !ok || i.Deleted {
		return directory.Entry{}, false
	}
	e, err := r.docs.Entry(i)
	if err != nil {
		eventlog.EntryUnreadable.Warn(r.log).Err(err).Str("key", i.Key).Send()
		return directory.Entry{}, false
	}
	return e, true
}

// takeItem takes a key that is not a member's. It is called with mu held.
func (r *Registry) takeItem(i store.Item) {
	if i.Key != r.docs.ConfigKey() {
		r.own.take(i)
		return
	}
	if i.Deleted {
		return
	}
	next, err := r.docs.Catalog(i.Value)
	if err != nil {
		eventlog.ConfigRejected.Error(r.log).Err(err).Send()
		return
	}
	current := r.catalog
	r.catalog = catalog.Newer(current, next)
	if r.catalog != current {
		eventlog.ConfigInForce.Info(r.log).Uint64("version", next.Version).Int("routes", next.Len()).Send()
	}
}

// scheduleRecheck lists once more when the grace period of a lost entry is
// over. It is called with mu held.
func (r *Registry) scheduleRecheck() {
	if r.recheck || !r.hasMissing() {
		return
	}
	r.recheck = true
	time.AfterFunc(tidyAfter, r.relistMembers)
}

func (r *Registry) hasMissing() bool {
	for _, m := range r.directory.Members() {
		if m.Missing {
			return true
		}
	}
	return false
}

// relistMembers asks whether lost entries are back. Only the store's own word
// makes a member gone; while the store is away it stays.
func (r *Registry) relistMembers() {
	ctx, cancel := context.WithTimeout(context.Background(), listTimeout)
	defer cancel()
	l, err := r.store.Range(ctx, r.docs.MemberPrefix())
	now := clock.Now()
	r.mu.Lock()
	r.recheck = false
	if err == nil {
		var entries []directory.Entry
		for _, i := range l.Items {
			if e, ok := r.decodeEntry(i); ok {
				entries = append(entries, e)
			}
		}
		r.directory.Replace(entries, l.Revision, now)
		r.expire(now)
	}
	r.scheduleRecheck()
	r.mu.Unlock()
	r.changed()
}

// expire drops members whose entries stayed away. It is called with mu held.
func (r *Registry) expire(now time.Duration) {
	for _, m := range r.directory.Expire(now) {
		eventlog.UpstreamGone.Info(r.log).Str("upstream", m.ID).Str("reason", "its entry stayed away").Send()
	}
	r.scheduleRecheck()
}

// Catalog returns the configuration in force, or nil.
func (r *Registry) Catalog() *catalog.Catalog {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.catalog
}

// Members returns the members of a service.
func (r *Registry) Members(service string) []directory.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []directory.Member
	for _, m := range r.directory.Members() {
		if m.Service == service {
			out = append(out, m)
		}
	}
	return out
}

// Hosts returns the names of the hosts that are registered.
func (r *Registry) Hosts() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.own.hostNames()
}

// Fleet returns the hosts that are registered.
func (r *Registry) Fleet() []gates.Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]gates.Host, 0, len(r.own.hosts))
	for _, h := range r.own.hosts {
		out = append(out, h)
	}
	return out
}

// Suspecting returns the hosts that report a member as dead.
func (r *Registry) Suspecting(service, member string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.own.suspecting(service, member)
}

// Locked reports whether some host holds the promotion lock of a service.
func (r *Registry) Locked(service string) (holder string, locked bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l, found := r.own.locks[service]
	return l, found
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
