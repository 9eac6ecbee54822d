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

// Config holds an Owner's settings and dependencies.
type Config struct {
	Host membership.Host
	// User and Password are the credentials for members.
	User, Password string
	Dial           upstream.DialFunc
	// ControlDial opens the control connections.
	ControlDial upstream.DialFunc
	// AnswerLimit is the maximum size of an answer in bytes.
	AnswerLimit int
	Timing      group.Timing
	// HeartbeatBudget derives the heartbeat interval from the number of monitored
	// members.
	HeartbeatBudget group.HeartbeatBudget
	// RecordPromotion is called after each promotion.
	RecordPromotion func(service string, term logpos.Term, primary string)
	// AnswerRejected is called for each answer of a member that is not that to the request
	// in progress; it may be nil.
	AnswerRejected func(upstream.Rejection)
	// DrainTimeout bounds how long a released pool waits for its requests.
	DrainTimeout time.Duration
	Log          zerolog.Logger
}

// Owner holds the pools of the members that rendezvous hashing assigns to this
// host. Lock order: Owner.mu, poolClaim.mu, pool.mu. None of them is acquired
// while groupmonitor.Monitor's lock is held.
type Owner struct {
	cfg     Config
	txns    transactions
	recent  *recentRequests
	running runningRequests
	ctx     context.Context
	stop    context.CancelFunc
	wg      sync.WaitGroup

	mu       sync.Mutex
	config   *conf.Config
	dead     []membership.Host
	groups   map[string]*monitoredGroup
	claims   map[string]*poolClaim
	stopping bool
}

// New returns an owner with no pools.
func New(cfg Config) *Owner {
	ctx, cancel := context.WithCancel(context.Background())
	return &Owner{
		cfg: cfg, ctx: ctx, stop: cancel,
		txns:   newTransactions(),
		recent: newRecentRequests(), config: &conf.Config{},
		groups: make(map[string]*monitoredGroup), claims: make(map[string]*poolClaim),
	}
}

// Reconcile applies a configuration and a placement of members on the serving
// hosts: it claims and releases pools accordingly. Dead lists the hosts whose
// connections may be terminated.
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
		o.ensureClaim(o.ensureGroup(a.service, ownersOf(a.service, placement)), a.upstream)
	}
	o.releaseUnwanted(wanted)
	o.updateHeartbeats()
	o.switchOverPrimaries()
	for _, h := range dead {
		o.abortSender(SenderName(h))
	}
}

// updateHeartbeats adapts the heartbeat interval of all groups to the number of
// members; it needs mu held.
func (o *Owner) updateHeartbeats() {
	members := 0
	for _, g := range o.groups {
		members += len(g.controls)
	}
	timing := o.cfg.Timing
	timing.Heartbeat = o.cfg.HeartbeatBudget.Interval(members)
	for _, g := range o.groups {
		g.monitor.SetTiming(timing)
	}
}

// SenderName identifies one incarnation of a host in requests.
func SenderName(h membership.Host) string { return fmt.Sprintf("%s/%d", h.ID, h.Incarnation) }

// ensureGroup returns the monitored group of a service, starting it if necessary;
// it needs mu held.
func (o *Owner) ensureGroup(s conf.Service, owners []string) *monitoredGroup {
	rank := slices.Index(owners, o.cfg.Host.ID)
	g, found := o.groups[s.Name]
	if found && g.sameMembers(s) {
		g.monitor.SetRank(rank)
		return g
	}
	if found {
		g.close()
	}
	g = newMonitoredGroup(o.ctx, o.cfg, s, rank)
	o.groups[s.Name] = g
	return g
}

// ensureClaim claims the pool of an upstream unless this host has done so already.
// A new claim starts once the previous one has been released. It needs mu held.
func (o *Owner) ensureClaim(g *monitoredGroup, u conf.Upstream) {
	c, found := o.claims[u.Name]
	if found && c.spec == u && c.group == g && !c.releasing() {
		return
	}
	var previous *poolClaim
	if found {
		c.release()
		previous = c
	}
	next := newPoolClaim(o, g, u)
	o.claims[u.Name] = next
	o.wg.Go(func() {
		if previous != nil {
			<-previous.done
		}
		next.run()
	})
}

// releaseUnwanted releases the claims on pools that this host should no longer own
// and removes what they no longer use. It needs mu held.
func (o *Owner) releaseUnwanted(wanted map[string]bool) {
	inUse := make(map[*monitoredGroup]bool)
	for name, c := range o.claims {
		if !wanted[name] {
			c.release()
		}
		if c.finished() {
			delete(o.claims, name)
			continue
		}
		inUse[c.group] = true
	}
	for name, g := range o.groups {
		if !inUse[g] {
			g.close()
			delete(o.groups, name)
		}
	}
}

// Owned returns the members whose pools this host currently serves.
func (o *Owner) Owned() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	var names []string
	for name, c := range o.claims {
		if c.serving() {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// pool returns the pool of a member once its lock is held.
func (o *Owner) pool(ctx context.Context, service, member string) (*pool, *outcome.Refusal) {
	o.mu.Lock()
	c, found := o.claims[member]
	o.mu.Unlock()
	if !found || c.group.spec.Name != service {
		return nil, outcome.Refuse(outcome.WrongMember, "host %s does not own the pool of %s", o.cfg.Host.ID, member)
	}
	return c.awaitPool(ctx)
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

// hint returns this host's view of a group.
func (o *Owner) hint(service string) request.Hint {
	o.mu.Lock()
	g, found := o.groups[service]
	o.mu.Unlock()
	var hint request.Hint
	if !found {
		return hint
	}
	g.monitor.Inspect(func(v *group.View, now time.Duration) {
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

// Promotions returns the number of promotions that this host has completed.
func (o *Owner) Promotions() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := 0
	for _, g := range o.groups {
		n += g.monitor.Promotions()
	}
	return n
}

// Prepare opens connections to the owned members of the services.
func (o *Owner) Prepare(ctx context.Context, services []string) {
	o.mu.Lock()
	var pools []*pool
	for _, c := range o.claims {
		if slices.Contains(services, c.group.spec.Name) && c.serving() {
			pools = append(pools, c.pool)
		}
	}
	o.mu.Unlock()
	for _, p := range pools {
		p.warmUp(ctx)
	}
}

// Stop releases all pools and waits for requests in progress until the context
// ends.
func (o *Owner) Stop(ctx context.Context) {
	o.mu.Lock()
	o.stopping = true
	for _, c := range o.claims {
		c.release()
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
