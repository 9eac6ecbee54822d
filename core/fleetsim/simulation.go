package fleetsim

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/gates"
)

const (
	// startSpread is the time within which all hosts start.
	startSpread = 100 * time.Millisecond
	// changeAt is when the configuration changes and the fault begins: after the start
	// and the first renewals.
	changeAt = 20 * time.Second
	// refusalsLead is the time before the change from which the store refuses hosts, and
	// refusalsFor how long it does.
	refusalsLead = 2 * time.Second
	refusalsFor  = 9 * time.Second
	// silenceFor is how long a store that forgets its history answers no watch.
	silenceFor = 3 * time.Second
	// restartAfter is the time after which a lost relay starts again.
	restartAfter = 3 * time.Second
	// calmFrom and end are the window in which the calls and bytes of a calm fleet are
	// counted: after the leases of hosts that were lost have ended.
	calmFrom = 45 * time.Second
	end      = 65 * time.Second
)

// simulation is a fleet, its store and the time.
type simulation struct {
	scheduler
	options Options
	rng     *rand.Rand
	store   *storeModel
	hosts   []*host
	byName  map[string]*host
	// fleets are the registered hosts after each number of changes of registrations.
	fleets map[int][]gates.Host
	// started and changed are the times after which the first and the second version of
	// the configuration was in force, by host.
	started, changed map[int]time.Duration
}

// Run simulates a fleet: all hosts start, the configuration changes beside the fault, and
// the fleet comes to rest.
func Run(o Options) (Result, error) {
	if err := o.validate(); err != nil {
		return Result{}, err
	}
	s := &simulation{options: o, rng: rand.New(rand.NewPCG(o.Seed, 0)), byName: map[string]*host{}, fleets: map[int][]gates.Host{}, started: map[int]time.Duration{}, changed: map[int]time.Duration{}}
	s.store = newStoreModel(&s.scheduler, o)
	for n := range o.Hosts {
		h := newHost(s, n)
		s.hosts = append(s.hosts, h)
		s.byName[h.self.Name] = h
	}
	if o.StoreFilledAt == 0 {
		s.store.fill(o)
	}
	s.startHosts(s.hosts)
	if o.StoreFilledAt > 0 {
		s.at(o.StoreFilledAt, func() { s.store.fill(o) })
	}
	s.at(changeAt, func() { s.store.maxQueuedBytes = 0 })
	s.scheduleFault()
	s.at(changeAt, func() { s.store.commit(change{bytes: base64Bytes(o.ConfigBytes), config: 2, relayed: true}) })
	s.runUntil(calmFrom)
	calls, sent := s.totalCalls(), s.sentBytes()
	s.runUntil(end)
	return s.result(calls, sent), nil
}

func (s *simulation) startHosts(hosts []*host) {
	for _, h := range hosts {
		s.after(time.Duration(s.rng.Int64N(int64(startSpread))), h.start)
	}
}

func (s *simulation) scheduleFault() {
	switch s.options.Fault {
	case RelayLoss:
		s.at(changeAt, s.killRelays)
	case StoreRefusals:
		s.at(changeAt-refusalsLead, func() { s.store.refuses = func(host int) bool { return host%3 == 0 } })
		s.at(changeAt-refusalsLead+refusalsFor, func() { s.store.refuses = nil })
	case Compaction:
		s.at(changeAt, func() { s.store.compact(silenceFor) })
	case HalfRestart:
		half := slices.Clone(s.hosts)
		s.rng.Shuffle(len(half), func(i, j int) { half[i], half[j] = half[j], half[i] })
		s.at(changeAt, func() { s.restart(half[:len(half)/2]) })
	case Restart:
		s.at(changeAt, func() { s.restart(s.hosts) })
	case SourceLoss:
		s.at(changeAt, s.loseSources)
	}
}

func (s *simulation) restart(hosts []*host) {
	for _, h := range hosts {
		h.kill()
	}
	s.startHosts(hosts)
}

// loseSources kills all hosts and starts those that are no sources.
func (s *simulation) loseSources() {
	for _, record := range s.store.sources {
		for _, source := range record.Sources {
			s.byName[source.Name].dead = true
		}
	}
	var returning []*host
	for _, h := range s.hosts {
		h.kill()
		if !h.dead {
			returning = append(returning, h)
		}
	}
	s.startHosts(returning)
}

// killRelays kills the host of each zone that has the most followers.
func (s *simulation) killRelays() {
	relays := make([]*host, s.options.Zones)
	for _, h := range s.hosts {
		if r := relays[h.zone]; r == nil || len(h.followers) > len(r.followers) {
			relays[h.zone] = h
		}
	}
	for _, r := range relays {
		r.kill()
		s.after(restartAfter, r.start)
	}
}

// inForce records the first time of a version on a host.
func (s *simulation) inForce(host, version int) {
	times, since := s.started, s.options.StoreFilledAt
	if version > 1 {
		times, since = s.changed, changeAt
	}
	if _, known := times[host]; !known {
		times[host] = s.now - since
	}
}

func (s *simulation) totalCalls() int {
	total := 0
	for _, n := range s.store.callsBySecond {
		total += n
	}
	return total
}

// sentBytes returns what each host has sent.
func (s *simulation) sentBytes() []int {
	var out []int
	for _, h := range s.hosts {
		out = append(out, h.port.sentBytes)
	}
	return out
}

// result counts from the calls and bytes at the begin of the calm window.
func (s *simulation) result(calmCalls int, calmSent []int) Result {
	r := Result{Hosts: len(s.hosts), Fault: s.options.Fault, RefusedCalls: s.store.tooMany, StoreBacklog: s.store.maxBacklog()}
	var started, changed []time.Duration
	for n, h := range s.hosts {
		if h.dead || h.restarted && s.options.Fault == RelayLoss {
			continue
		}
		at, known := s.changed[n]
		if !known || at > s.options.ConfigApplyTime {
			r.Late++
		}
		if known {
			changed = append(changed, at)
		}
		if at, known := s.started[n]; known {
			started = append(started, at)
		}
		r.CalmBytes = max(r.CalmBytes, float64(h.port.sentBytes-calmSent[n])/(end-calmFrom).Seconds())
		r.MaxQueuedBytes = max(r.MaxQueuedBytes, h.maxQueuedBytes)
	}
	r.StartMiddle, r.StartLast = middleAndLast(started)
	r.ChangeMiddle, r.ChangeLast = middleAndLast(changed)
	for _, n := range s.store.callsBySecond {
		r.PeakCalls = max(r.PeakCalls, n)
	}
	r.CalmCalls = float64(s.totalCalls()-calmCalls) / (end - calmFrom).Seconds()
	return r
}
