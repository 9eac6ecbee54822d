// Package limits keeps the teams' limits on one host. The decisions are those of
// core/quota; this package carries the requests to the hosts that count a team,
// and holds the operations that wait for an answer.
package limits

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/catalog"
	"github.com/dotterelswitch/dotterelswitch/core/quota"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
)

const (
	// answerTime bounds the wait for one answer: a round trip between the regions
	// that are furthest apart, 40 ms, and a busy host's turn.
	answerTime = 60 * time.Millisecond
	// tries is how often a counter is asked before the next one, because datagrams
	// get lost.
	tries = 2
	// silentFor is how long a counter that has not answered is passed over: less
	// than a process takes to start again.
	silentFor = 400 * time.Millisecond
	// staleAfter is the age at which an answer is dropped: this host has stood still,
	// and the grant belongs to a window that is over.
	staleAfter = 500 * time.Millisecond
)

// AskFunc asks another host to grant operations of a team. It reports false
// where no answer came.
type AskFunc func(ctx context.Context, address, team string, wanted int) (quota.Grant, bool)

// Config is what a Limiter needs from its surroundings.
type Config struct {
	// Self is this host.
	Self      quota.Host
	Tolerance quota.Tolerance
	Ask       AskFunc
	// Remembered tells that this host was registered already when it started.
	Remembered func() bool
	// Limit returns the limit of a team in the newest configuration; false for a
	// team that it does not have.
	Limit func(team string) (quota.Limit, bool)
}

// Limiter decides on operations, and grants those that other hosts ask for. It
// is safe for concurrent use; its lock is a leaf.
type Limiter struct {
	cfg Config

	// mu guards the fields below.
	mu      sync.Mutex
	meter   *quota.Limiter
	counter *quota.Counter
	// waiting holds the operations that wait for an answer, by team, the oldest
	// first.
	waiting map[string][]chan outcome
	// hosts are the registered hosts, and addresses where they take datagrams.
	hosts     []quota.Host
	addresses map[string]string
	// placed are the placements that follow from hosts, by team.
	placed map[string]placed
	// silentUntil is until when a host is not asked at all, by name, and emptyUntil
	// until when not for a team.
	silentUntil map[string]time.Duration
	emptyUntil  map[account]time.Duration
}

// placed is a placement and the limit that it was worked out for.
type placed struct {
	quota.Placement
	limit quota.Limit
}

// account is a team at one of its counters.
type account struct{ team, counter string }

// outcome is what an operation that waited is told.
type outcome struct {
	runs       bool
	retryAfter time.Duration
}

// New returns a limiter that knows of no other host.
func New(cfg Config) *Limiter {
	cfg.Tolerance = cfg.Tolerance.WithDefaults()
	now := clock.Now()
	return &Limiter{
		cfg: cfg, meter: quota.NewLimiter(cfg.Tolerance, now), counter: quota.NewCounter(cfg.Tolerance, now),
		waiting: map[string][]chan outcome{}, addresses: map[string]string{}, placed: map[string]placed{}, silentUntil: map[string]time.Duration{}, emptyUntil: map[account]time.Duration{},
	}
}

// SetFleet takes the hosts that are registered, with where they take datagrams. A
// host that joins them takes teams over from others; one whose earlier life was
// registered all the while it was down does not, as nobody has counted for it.
func (l *Limiter) SetFleet(hosts []quota.Host, addresses map[string]string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, listed := addresses[l.cfg.Self.Name]
	_, wasListed := l.addresses[l.cfg.Self.Name]
	takesOver := listed && !wasListed && !l.cfg.Remembered()
	for name := range l.addresses {
		_, stays := addresses[name]
		takesOver = takesOver || !stays
	}
	if takesOver {
		l.counter.TakeOver(clock.Now())
	}
	l.hosts, l.addresses = hosts, addresses
	clear(l.placed)
	clear(l.emptyUntil)
}

// Admit decides on one operation of a team; it may wait for the counter. It
// reports false for one that is refused, and when it is of use to come back.
func (l *Limiter) Admit(ctx context.Context, team catalog.Team) (time.Duration, bool) {
	if !team.Limit.Bounded {
		return 0, true
	}
	now := clock.Now()
	l.mu.Lock()
	place := l.placeOf(team.Name, team.Limit)
	d := l.meter.Admit(team.Name, team.Limit, place.MaxUnconfirmed, now)
	var ch chan outcome
	if d.Verdict == quota.Pending {
		ch = make(chan outcome, 1)
		l.waiting[team.Name] = append(l.waiting[team.Name], ch)
	}
	if d.Verdict != quota.Refused {
		l.askNow(team, place, now)
	}
	l.mu.Unlock()
	if ch == nil {
		return d.RetryAfter, d.Verdict == quota.Admitted
	}
	select {
	case o := <-ch:
		return o.retryAfter, o.runs
	case <-ctx.Done():
		// The caller has left; the place in the queue is answered in its turn.
		return 0, false
	}
}

// Refund takes back an operation that was admitted and that no member has run.
func (l *Limiter) Refund(team catalog.Team) {
	if !team.Limit.Bounded {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.meter.Refund(team.Name)
}

// Uses returns the use of every team that is active here.
func (l *Limiter) Uses() map[string]quota.Usage {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.meter.UsageByTeam()
}

// CountersOf returns the hosts that count a team, in the order in which this one
// asks them.
func (l *Limiter) CountersOf(team string) []string {
	limit, known := l.cfg.Limit(team)
	if !known {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.placeOf(team, limit).Counters
}

// Acquire grants operations that a host asks for.
func (l *Limiter) Acquire(team string, wanted int) quota.Grant {
	limit, known := l.cfg.Limit(team)
	if !known {
		// The host that asks has a newer configuration than this one.
		return quota.Grant{RetryAfter: silentFor}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	place := l.placeOf(team, limit)
	if !slices.Contains(place.Counters, l.cfg.Self.Name) {
		// The hosts do not agree on who is registered yet.
		return quota.Grant{RetryAfter: answerTime}
	}
	return l.counter.Acquire(team, limit, len(place.Counters), wanted, clock.Now())
}

// placeOf is called with mu held.
func (l *Limiter) placeOf(team string, limit quota.Limit) quota.Placement {
	p, found := l.placed[team]
	if found && p.limit == limit {
		return p.Placement
	}
	hosts := l.hosts
	if len(hosts) == 0 {
		hosts = []quota.Host{l.cfg.Self}
	}
	p = placed{Placement: quota.Place(team, limit, l.cfg.Tolerance, hosts, l.cfg.Self), limit: limit}
	l.placed[team] = p
	return p.Placement
}

// askNow asks for what is owed and waited for, unless that is under way. It is
// called with mu held.
func (l *Limiter) askNow(team catalog.Team, place quota.Placement, now time.Duration) {
	wanted := l.meter.NextRequest(team.Name, now)
	if wanted == 0 {
		return
	}
	if place.Counters[0] != l.cfg.Self.Name {
		go l.ask(team, place.Counters, wanted, quota.Grant{})
		return
	}
	g := l.counter.Acquire(team.Name, team.Limit, len(place.Counters), wanted, now)
	if g.Granted == wanted {
		l.settle(team, g, now)
		return
	}
	l.emptyUntil[account{team.Name, l.cfg.Self.Name}] = now + g.RetryAfter
	go l.ask(team, place.Counters[1:], wanted, g)
}

// ask asks counters in turn for what is not granted yet, and settles what has come of it.
// Without any answer, the operations are refused and what has run stays unconfirmed.
func (l *Limiter) ask(team catalog.Team, counters []string, wanted int, sum quota.Grant) {
	asked := clock.Now()
	for _, counter := range counters {
		if sum.Granted == wanted {
			break
		}
		g := l.askOne(counter, team.Name, wanted-sum.Granted)
		sum.Granted += g.Granted
		if sum.RetryAfter == 0 || (g.RetryAfter > 0 && g.RetryAfter < sum.RetryAfter) {
			sum.RetryAfter = g.RetryAfter
		}
	}
	now := clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if now-asked > staleAfter {
		l.tell(team.Name, 0, l.meter.RequestFailed(team.Name, now), answerTime)
		return
	}
	if sum.Granted == wanted {
		sum.RetryAfter = 0
	}
	l.settle(team, sum, now)
}

// settle takes a grant and asks again for what has come meanwhile. It is called
// with mu held.
func (l *Limiter) settle(team catalog.Team, g quota.Grant, now time.Duration) {
	run, refused := l.meter.ApplyGrant(team.Name, g, now)
	l.tell(team.Name, run, refused, g.RetryAfter)
	l.askNow(team, l.placeOf(team.Name, team.Limit), now)
}

// tell answers the operations that have waited longest. It is called with mu held.
func (l *Limiter) tell(team string, run, refused int, retryAfter time.Duration) {
	queue := l.waiting[team]
	for i := range min(run+refused, len(queue)) {
		queue[i] <- outcome{runs: i < run, retryAfter: retryAfter}
	}
	l.waiting[team] = queue[min(run+refused, len(queue)):]
	if len(l.waiting[team]) == 0 {
		delete(l.waiting, team)
	}
}

// askOne asks one counter, some times, unless it has just been silent or had nothing
// left. No answer grants nothing.
func (l *Limiter) askOne(counter, team string, wanted int) quota.Grant {
	address, wait := l.usable(counter, team)
	if wait > 0 {
		return quota.Grant{RetryAfter: wait}
	}
	for range tries {
		ctx, cancel := context.WithTimeout(context.Background(), answerTime)
		g, answered := l.cfg.Ask(ctx, address, team, wanted)
		cancel()
		if answered {
			l.noteEmpty(counter, team, g)
			return g
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.silentUntil[counter] = clock.Now() + silentFor
	return quota.Grant{RetryAfter: silentFor}
}

// noteEmpty remembers that a counter has nothing left for a team.
func (l *Limiter) noteEmpty(counter, team string, g quota.Grant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if g.RetryAfter > 0 {
		l.emptyUntil[account{team, counter}] = clock.Now() + g.RetryAfter
	}
}

// usable returns where a counter takes datagrams, or how long it is not to be asked.
func (l *Limiter) usable(counter, team string) (string, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := clock.Now()
	until := max(l.silentUntil[counter], l.emptyUntil[account{team, counter}])
	address, known := l.addresses[counter]
	switch {
	case now < until:
		return "", until - now
	case !known:
		return "", silentFor
	}
	delete(l.silentUntil, counter)
	delete(l.emptyUntil, account{team, counter})
	return address, 0
}
