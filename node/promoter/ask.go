package promoter

import (
	"context"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/succession"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
	"github.com/dotterelswitch/dotterelswitch/node/replicaset"
)

const (
	// askTime bounds the wait for an opinion: three round trips between regions
	// and a busy host's turn.
	askTime = 150 * time.Millisecond
	// askInterval spaces the questions to one host.
	askInterval = 60 * time.Millisecond
	// askedFor is how long a question keeps the primary in doubt here: several
	// questions of a host that goes on asking.
	askedFor = 400 * time.Millisecond
)

// askOthers asks other hosts about a primary in doubt. The holder of the lock
// asks the voters at the first sign, so that their opinions are there when it has
// found the primary dead; the others tell the holder by asking it, and ask the
// voters as well once it may be their turn. A host that was only asked itself asks
// nobody but as the holder: questions would go round for ever.
func (p *Promoter) askOthers(ctx context.Context, now time.Duration, doubted, lost bool) {
	life := p.subject()
	lock := p.registry.LockOf(p.service)
	if lock.Holder == p.host {
		p.ask(ctx, now, life, p.voters())
		return
	}
	if lock.Holder != "" && doubted {
		p.ask(ctx, now, life, []string{lock.Holder})
	}
	if lost && (lock.Holder == "" || now >= p.deputyFrom()) {
		p.ask(ctx, now, life, p.voters())
	}
}

// deputyFrom returns from when on the others prepare to do without the holder of
// the lock: early enough to have the voters' opinions when it is their turn.
func (p *Promoter) deputyFrom() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(p.lostSince, p.leaderSeen) + succession.TakeoverDelay - askTime
}

// subject names the primary in doubt.
func (p *Promoter) subject() string {
	id, found := p.set.BelievedPrimary()
	if !found {
		return noMember
	}
	return p.life(id)
}

// ask asks those of some hosts that were not just asked. It does not wait.
func (p *Promoter) ask(ctx context.Context, now time.Duration, life string, hosts []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, host := range hosts {
		if host == p.host || now-p.askedAt[host] < askInterval {
			continue
		}
		p.askedAt[host] = now
		go p.askHost(ctx, life, host)
	}
}

func (p *Promoter) askHost(ctx context.Context, life, host string) {
	ctx, cancel := context.WithTimeout(ctx, askTime)
	defer cancel()
	asked := clock.Now()
	o, answered := p.peers.Opinion(ctx, p.service, life, host)
	if !answered {
		return
	}
	p.mu.Lock()
	p.opinions.Record(life, o, asked)
	if o.Leading {
		p.leaderSeen = max(p.leaderSeen, asked)
	}
	p.mu.Unlock()
	p.Wake()
}

// Opinion says what this host thinks of a primary, for another one that asks. A
// host without evidence of its own looks for it, and asks others if it is the
// one to lead.
func (p *Promoter) Opinion(ctx context.Context, life string) succession.Opinion {
	now := clock.Now()
	p.mu.Lock()
	p.askedUntil = now + askedFor
	p.mu.Unlock()
	o := succession.Opinion{
		Host: p.host, StoreReached: !p.registry.Away(), Lock: p.registry.LockOf(p.service).Token(),
		Dead: p.hasLost(life, now) && !p.stoodStill(now), Reaches: p.reaches(life, now), Leading: p.leading.Load(),
	}
	if !o.Dead {
		p.Wake()
	}
	return o
}

// reaches reports whether a primary has answered this host lately, so that others
// may send it statements through this one.
func (p *Promoter) reaches(life string, now time.Duration) bool {
	m, known := p.member(life)
	return known && m.Reachable(now)
}

// member returns the member with a life of that name.
func (p *Promoter) member(life string) (*replicaset.Member, bool) {
	for _, m := range p.set.Members() {
		if m.Incarnation() == life {
			return m, true
		}
	}
	return nil, false
}

// hasLost reports whether this host has lost a primary.
func (p *Promoter) hasLost(life string, now time.Duration) bool {
	if life == noMember {
		_, found := p.set.BelievedPrimary()
		return !found
	}
	m, known := p.member(life)
	return known && m.Dead(now)
}
