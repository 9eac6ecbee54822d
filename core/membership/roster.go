package membership

import (
	"cmp"
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"
)

// retransmitFactor times the binary logarithm of the fleet size is the number of
// messages with which a host sends a rumour.
const retransmitFactor = 3

// maxRumoursPerMessage bounds the rumours in one message.
const maxRumoursPerMessage = 8

// Roster is one host's view of the fleet. It is not safe for concurrent use.
type Roster struct {
	self       Host
	timing     Timing
	rng        *rand.Rand
	hosts      map[string]*record
	probeOrder []string
	nextProbe  int
	probeCount int
	rumours    []rumour
	// generation increases with every change that Generation reports.
	generation uint64
}

// record is a host with the time of its last change of state.
type record struct {
	host  Host
	since time.Duration
}

// rumour is a change that is still being disseminated.
type rumour struct {
	id        string
	sendsLeft int
}

// NewRoster returns a roster that contains only self.
func NewRoster(self Host, timing Timing, seed uint64) *Roster {
	r := &Roster{
		self:   self,
		timing: timing,
		rng:    rand.New(rand.NewPCG(seed, self.Incarnation)),
		hosts:  make(map[string]*record),
	}
	r.hosts[self.ID] = &record{host: self}
	return r
}

// Self returns this host's own description.
func (r *Roster) Self() Host { return r.self }

// Generation increases with every change of the hosts that Serving returns.
func (r *Roster) Generation() uint64 { return r.generation }

// Host returns what is known of a host.
func (r *Roster) Host(id string) (Host, bool) {
	rec, found := r.hosts[id]
	if !found {
		return Host{}, false
	}
	return rec.host, true
}

// Serving returns the hosts that may be given new work, sorted by ID.
func (r *Roster) Serving() []Host {
	return r.filter(func(s State) bool { return s == Alive || s == Suspect })
}

// Dead returns the dead hosts that are still remembered.
func (r *Roster) Dead() []Host {
	return r.filter(func(s State) bool { return s == Dead })
}

// Reachable returns the hosts that are not dead, including those that are leaving.
func (r *Roster) Reachable() []Host {
	return r.filter(func(s State) bool { return s != Dead })
}

func (r *Roster) filter(keep func(State) bool) []Host {
	out := make([]Host, 0, len(r.hosts))
	for _, rec := range r.hosts {
		if keep(rec.host.State) {
			out = append(out, rec.host)
		}
	}
	slices.SortFunc(out, func(a, b Host) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Merge applies information about a host from a rumour, a probe or the host itself.
func (r *Roster) Merge(h Host, now time.Duration) {
	if h.ID == r.self.ID {
		r.refute(h, now)
		return
	}
	rec, found := r.hosts[h.ID]
	if found && !h.supersedes(rec.host) {
		return
	}
	if !found {
		rec = &record{}
		r.hosts[h.ID] = rec
		r.insertProbeTarget(h.ID)
	}
	rec.host, rec.since = h, now
	r.generation++
	r.enqueueRumour(h.ID)
}

// MergeList applies the list of the service registry. The list lags, so a host that is
// missing from it is not considered dead.
func (r *Roster) MergeList(list []Host, now time.Duration) {
	for _, h := range list {
		r.Merge(h, now)
	}
}

// refute raises this host's incarnation if others assume that it is in a worse state.
func (r *Roster) refute(h Host, now time.Duration) {
	if !h.supersedes(r.self) {
		return
	}
	r.self.Incarnation = max(h.Incarnation, r.self.Incarnation) + 1
	r.hosts[r.self.ID] = &record{host: r.self, since: now}
	r.enqueueRumour(r.self.ID)
}

// Leave marks this host as leaving.
func (r *Roster) Leave(now time.Duration) {
	r.self.State = Leaving
	r.hosts[r.self.ID] = &record{host: r.self, since: now}
	r.generation++
	r.enqueueRumour(r.self.ID)
}

// ProbeFailed records a probe or call that was not answered.
func (r *Roster) ProbeFailed(id string, incarnation uint64, now time.Duration) {
	rec, found := r.hosts[id]
	if !found || rec.host.Incarnation != incarnation || rec.host.State != Alive {
		return
	}
	h := rec.host
	h.State = Suspect
	r.Merge(h, now)
}

// ProbeRefused records a probe that was actively refused by the host's machine: the
// process of that incarnation has ended, so it is dead without a suspicion period.
func (r *Roster) ProbeRefused(id string, incarnation uint64, now time.Duration) {
	rec, found := r.hosts[id]
	if !found || rec.host.Incarnation != incarnation {
		return
	}
	h := rec.host
	h.State = Dead
	r.Merge(h, now)
}

// ConfirmAlive records a direct message from a host, which ends a suspicion.
func (r *Roster) ConfirmAlive(h Host, now time.Duration) {
	rec, found := r.hosts[h.ID]
	if found && rec.host.Incarnation == h.Incarnation && rec.host.State == Suspect {
		rec.host, rec.since = h, now
		r.generation++
	}
	r.Merge(h, now)
}

// Tick ends suspicions that have timed out and forgets hosts that died long ago.
func (r *Roster) Tick(now time.Duration) {
	for id, rec := range r.hosts {
		age := now - rec.since
		switch rec.host.State {
		case Suspect:
			if age >= r.timing.SuspicionTimeout {
				h := rec.host
				h.State = Dead
				r.Merge(h, now)
			}
		case Dead:
			if age >= r.timing.DeadRetention {
				r.forget(id)
			}
		}
	}
}

func (r *Roster) forget(id string) {
	delete(r.hosts, id)
	if i := slices.Index(r.probeOrder, id); i >= 0 {
		r.probeOrder = slices.Delete(r.probeOrder, i, i+1)
	}
}

// deadProbeInterval is the number of probes of which one goes to a dead host, so that
// the two sides of a healed partition find each other again.
const deadProbeInterval = 4

// NextProbe returns the host to probe next. Targets are taken round-robin in shuffled
// order, which bounds the time until each host is probed.
func (r *Roster) NextProbe() (Host, bool) {
	r.probeCount++
	if r.probeCount%deadProbeInterval == 0 {
		if dead := r.Dead(); len(dead) > 0 {
			return dead[r.rng.IntN(len(dead))], true
		}
	}
	for range len(r.probeOrder) {
		if r.nextProbe >= len(r.probeOrder) {
			r.nextProbe = 0
			r.rng.Shuffle(len(r.probeOrder), func(i, j int) { r.probeOrder[i], r.probeOrder[j] = r.probeOrder[j], r.probeOrder[i] })
		}
		h := r.hosts[r.probeOrder[r.nextProbe]].host
		r.nextProbe++
		if h.State != Dead {
			return h, true
		}
	}
	return Host{}, false
}

func (r *Roster) insertProbeTarget(id string) {
	at := r.rng.IntN(len(r.probeOrder) + 1)
	r.probeOrder = slices.Insert(r.probeOrder, at, id)
}

// enqueueRumour queues a rumour and replaces an older one about the same host.
func (r *Roster) enqueueRumour(id string) {
	r.rumours = slices.DeleteFunc(r.rumours, func(x rumour) bool { return x.id == id })
	r.rumours = append(r.rumours, rumour{id: id, sendsLeft: retransmitFactor * bits.Len(uint(len(r.hosts)))})
}

// TakeRumours returns the rumours to send with the next message.
func (r *Roster) TakeRumours() []Host {
	n := min(len(r.rumours), maxRumoursPerMessage)
	out := make([]Host, 0, n)
	for i := range n {
		if rec, found := r.hosts[r.rumours[i].id]; found {
			out = append(out, rec.host)
		}
		r.rumours[i].sendsLeft--
	}
	sent := slices.Clone(r.rumours[:n])
	r.rumours = append(r.rumours[n:], sent...)
	r.rumours = slices.DeleteFunc(r.rumours, func(x rumour) bool { return x.sendsLeft <= 0 })
	return out
}
