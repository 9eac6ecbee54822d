package owner

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/dotterelswitch/dotterelswitch/core/conf"
	"github.com/dotterelswitch/dotterelswitch/core/group"
	"github.com/dotterelswitch/dotterelswitch/core/logpos"
	"github.com/dotterelswitch/dotterelswitch/core/membership"
	"github.com/dotterelswitch/dotterelswitch/core/outcome"
	"github.com/dotterelswitch/dotterelswitch/node/request"
	"github.com/dotterelswitch/dotterelswitch/node/upstream"
)

// Config describes the host to its pools.
type Config struct {
	Host membership.Host
	// User and Password log in to members.
	User, Password string
	Dial           upstream.DialFunc
	// ControlDial opens the control connections.
	ControlDial upstream.DialFunc
	// AnswerLimit is the largest answer carried, in bytes.
	AnswerLimit int
	Timing      group.Timing
	// Pace spaces heartbeats by the number of members watched.
	Pace group.HeartbeatBudget
	// Record is told of promotions.
	Record func(service string, term logpos.Term, primary string)
	// DrainFor bounds how long a pool that is handed over waits for what runs.
	DrainFor time.Duration
	Log      zerolog.Logger
}

// Owner holds the pools of the members that rendezvous hashing gives to this
// host. Lock order: Owner.mu, then holding.mu, then pool.mu; watch.Watcher has
// its own lock, which is never held while taking one of these.
type Owner struct {
	cfg  Config
	txns transactions
	seen *recent
	runs running
	ctx  context.Context
	stop context.CancelFunc
	wg   sync.WaitGroup

	mu       sync.Mutex
	config   *conf.Config
	dead     []membership.Host
	groups   map[string]*watchedGroup
	holdings map[string]*holding
	stopping bool
}

// New returns an owner with no pools.
func New(cfg Config) *Owner {
	ctx, cancel := context.WithCancel(context.Background())
	return &Owner{
		cfg: cfg, ctx: ctx, stop: cancel,
		txns: transactions{open: make(map[uint64]*transaction)},
		seen: newRecent(), config: &conf.Config{},
		groups: make(map[string]*watchedGroup), holdings: make(map[string]*holding),
	}
}

// Reconcile takes a configuration and the placement of the hosts that serve,
// and starts or hands over pools accordingly. Dead lists the hosts whose
// connections may be ended.
func (o *Owner) Reconcile(cfg *conf.Config, placement *membership.Placement, dead []membership.Host) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.stopping {
		return
	}
	o.config, o.dead = cfg, dead
	wanted := make(map[string]bool)
	for _, a := range assignments(cfg, placement, o.cfg.Host) {
		wanted[a.upstream.Name] = true
		o.ensureHolding(o.ensureGroup(a.service, ownersOf(a.service, placement)), a.upstream)
	}
	o.releaseUnwanted(wanted)
	o.pace()
	o.handOverPrimaries()
	for _, h := range dead {
		o.forgetSender(SenderName(h))
	}
}

// pace spaces the heartbeats of all groups; it needs mu held.
func (o *Owner) pace() {
	members := 0
	for _, g := range o.groups {
		members += len(g.controls)
	}
	timing := o.cfg.Timing
	timing.Heartbeat = o.cfg.Pace.Interval(members)
	for _, g := range o.groups {
		g.watcher.SetTiming(timing)
	}
}

// SenderName names one incarnation of a host in requests.
func SenderName(h membership.Host) string { return fmt.Sprintf("%s/%d", h.ID, h.Incarnation) }

// ensureGroup returns the watched group of a service, starting it if need be;
// it needs mu held.
func (o *Owner) ensureGroup(s conf.Service, owners []string) *watchedGroup {
	rank := slices.Index(owners, o.cfg.Host.ID)
	g, found := o.groups[s.Name]
	if found && g.sameMembers(s) {
		g.watcher.SetRank(rank)
		return g
	}
	if found {
		g.close()
	}
	g = newWatchedGroup(o.ctx, o.cfg, s, rank)
	o.groups[s.Name] = g
	return g
}

// ensureHolding needs mu held.
func (o *Owner) ensureHolding(g *watchedGroup, u conf.Upstream) {
	h, found := o.holdings[u.Name]
	if found && h.spec == u && h.group == g && !h.releasing() {
		return
	}
	var previous *holding
	if found {
		h.release()
		previous = h
	}
	next := newHolding(o, g, u)
	o.holdings[u.Name] = next
	o.wg.Go(func() {
		if previous != nil {
			<-previous.done
		}
		next.run()
	})
}

// releaseUnwanted needs mu held.
func (o *Owner) releaseUnwanted(wanted map[string]bool) {
	inUse := make(map[*watchedGroup]bool)
	for name, h := range o.holdings {
		if !wanted[name] {
			h.release()
		}
		if h.finished() {
			delete(o.holdings, name)
			continue
		}
		inUse[h.group] = true
	}
	for name, g := range o.groups {
		if !inUse[g] {
			g.close()
			delete(o.groups, name)
		}
	}
}

// Owned returns the members whose pools this host serves now.
func (o *Owner) Owned() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	var names []string
	for name, h := range o.holdings {
		if h.serving() {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// pool returns the pool of a member once this host holds it.
func (o *Owner) pool(ctx context.Context, service, member string) (*pool, *outcome.Refusal) {
	o.mu.Lock()
	h, found := o.holdings[member]
	o.mu.Unlock()
	if !found || h.group.spec.Name != service {
		return nil, outcome.Refuse(outcome.WrongMember, "host %s does not own the pool of %s", o.cfg.Host.ID, member)
	}
	return h.await(ctx)
}

func (o *Owner) weight(team string) float64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.config.Weight(team)
}

func (o *Owner) deadHosts() []membership.Host {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.dead
}

// hint returns what this host knows of a group.
func (o *Owner) hint(service string) request.Hint {
	o.mu.Lock()
	g, found := o.groups[service]
	o.mu.Unlock()
	var hint request.Hint
	if !found {
		return hint
	}
	g.watcher.Inspect(func(v *group.View, now time.Duration) {
		if st, found := v.CurrentPrimary(); found {
			hint.Primary, hint.Term = st.Member, st.GrantedTerm
		}
		for _, name := range v.Members() {
			if st, answered := v.Status(name); answered {
				hint.Members = append(hint.Members, request.MemberHint{Name: name, Applied: st.Applied})
			}
		}
	})
	return hint
}

// Promotions returns how many promotions this host has completed.
func (o *Owner) Promotions() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := 0
	for _, g := range o.groups {
		n += g.watcher.Promotions()
	}
	return n
}

// Prepare opens connections to the owned members of the services.
func (o *Owner) Prepare(ctx context.Context, services []string) {
	o.mu.Lock()
	var pools []*pool
	for _, h := range o.holdings {
		if slices.Contains(services, h.group.spec.Name) && h.serving() {
			pools = append(pools, h.pool)
		}
	}
	o.mu.Unlock()
	for _, p := range pools {
		p.prepare(ctx)
	}
}

// Stop hands every pool over and waits for what runs, until the context ends.
func (o *Owner) Stop(ctx context.Context) {
	o.mu.Lock()
	o.stopping = true
	for _, h := range o.holdings {
		h.release()
	}
	o.mu.Unlock()
	done := make(chan struct{})
	go func() {
		o.wg.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
	o.stop()
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, g := range o.groups {
		g.close()
	}
}
