package membership

import (
	"cmp"
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"
)

// spreadFactor times the binary logarithm of the fleet is how often a host
// passes one rumour on.
const spreadFactor = 3

// maxRumours bounds the rumours on one message.
const maxRumours = 8

// Roster is one host's view of the others. It is not safe for concurrent use.
type Roster struct {
	self    Host
	timing  Timing
	rng     *rand.Rand
	hosts   map[string]*record
	order   []string
	cursor  int
	probes  int
	rumours []rumour
	// generation grows with every visible change.
	generation uint64
}

// record is a host with the time of its last change of state.
type record struct {
	host  Host
	since time.Duration
}

// rumour is a change that is still being passed on.
type rumour struct {
	id   string
	left int
}

// NewRoster returns a roster that knows only self.
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

// Self returns this host as it describes itself to others.
func (r *Roster) Self() Host { return r.self }

// Generation grows with every change of the hosts that Live or Serving return.
func (r *Roster) Generation() uint64 { return r.generation }

// Host returns what is known of one host.
func (r *Roster) Host(id string) (Host, bool) {
	rec, found := r.hosts[id]
	if !found {
		return Host{}, false
	}
	return rec.host, true
}

// Serving returns the hosts that may be given new work, in order of ID.
func (r *Roster) Serving() []Host {
	return r.filter(func(s State) bool { return s == Alive || s == Suspect })
}

// Dead returns the hosts believed dead that are still remembered.
func (r *Roster) Dead() []Host {
	return r.filter(func(s State) bool { return s == Dead })
}

// Reachable returns the hosts believed to run, those that leave included.
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

// Merge takes knowledge of a host from a rumour, a probe or the host itself.
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
	r.spread(h.ID)
}

// MergeList takes the platform's list. The list lags, so it adds hosts and
// announces departures, but a host missing from it is not dead for that.
func (r *Roster) MergeList(list []Host, now time.Duration) {
	for _, h := range list {
		r.Merge(h, now)
	}
}

// refute raises this host's incarnation when others believe worse of it.
func (r *Roster) refute(h Host, now time.Duration) {
	if !h.supersedes(r.self) {
		return
	}
	r.self.Incarnation = max(h.Incarnation, r.self.Incarnation) + 1
	r.hosts[r.self.ID] = &record{host: r.self, since: now}
	r.spread(r.self.ID)
}

// Leave marks this host as leaving.
func (r *Roster) Leave(now time.Duration) {
	r.self.State = Leaving
	r.hosts[r.self.ID] = &record{host: r.self, since: now}
	r.generation++
	r.spread(r.self.ID)
}

// ProbeFailed takes a direct probe or call that had no answer.
func (r *Roster) ProbeFailed(id string, incarnation uint64, now time.Duration) {
	rec, found := r.hosts[id]
	if !found || rec.host.Incarnation != incarnation || rec.host.State != Alive {
		return
	}
	h := rec.host
	h.State = Suspect
	r.Merge(h, now)
}

// ProbeRefused takes a direct probe that the host's machine refused: the
// process of that incarnation is gone, and no suspicion has to pass first.
func (r *Roster) ProbeRefused(id string, incarnation uint64, now time.Duration) {
	rec, found := r.hosts[id]
	if !found || rec.host.Incarnation != incarnation {
		return
	}
	h := rec.host
	h.State = Dead
	r.Merge(h, now)
}

// Heard takes a direct answer from a host, which proves that it runs.
func (r *Roster) Heard(h Host, now time.Duration) {
	rec, found := r.hosts[h.ID]
	if found && rec.host.Incarnation == h.Incarnation && rec.host.State == Suspect {
		rec.host, rec.since = h, now
		r.generation++
	}
	r.Merge(h, now)
}

// Tick ends suspicions and forgets hosts that died long ago.
func (r *Roster) Tick(now time.Duration) {
	for id, rec := range r.hosts {
		age := now - rec.since
		switch rec.host.State {
		case Suspect:
			if age >= r.timing.SuspectFor {
				h := rec.host
				h.State = Dead
				r.Merge(h, now)
			}
		case Dead:
			if age >= r.timing.ForgetAfter {
				r.forget(id)
			}
		}
	}
}

func (r *Roster) forget(id string) {
	delete(r.hosts, id)
	if i := slices.Index(r.order, id); i >= 0 {
		r.order = slices.Delete(r.order, i, i+1)
	}
}

// deadProbeEvery is how often a probe goes to a host believed dead, so that two
// sides of a healed partition find each other again.
const deadProbeEvery = 4

// NextProbe returns the host to probe next. Targets are taken in a shuffled
// round, which bounds the time until each is probed.
func (r *Roster) NextProbe() (Host, bool) {
	r.probes++
	if r.probes%deadProbeEvery == 0 {
		if dead := r.Dead(); len(dead) > 0 {
			return dead[r.rng.IntN(len(dead))], true
		}
	}
	for range len(r.order) {
		if r.cursor >= len(r.order) {
			r.cursor = 0
			r.rng.Shuffle(len(r.order), func(i, j int) { r.order[i], r.order[j] = r.order[j], r.order[i] })
		}
		h := r.hosts[r.order[r.cursor]].host
		r.cursor++
		if h.State != Dead {
			return h, true
		}
	}
	return Host{}, false
}

func (r *Roster) insertProbeTarget(id string) {
	at := r.rng.IntN(len(r.order) + 1)
	r.order = slices.Insert(r.order, at, id)
}

// spread queues a rumour, in place of an older one about the same host.
func (r *Roster) spread(id string) {
	r.rumours = slices.DeleteFunc(r.rumours, func(x rumour) bool { return x.id == id })
	r.rumours = append(r.rumours, rumour{id: id, left: spreadFactor * bits.Len(uint(len(r.hosts)))})
}

// TakeRumours returns the changes to send with the next message.
func (r *Roster) TakeRumours() []Host {
	n := min(len(r.rumours), maxRumours)
	out := make([]Host, 0, n)
	for i := range n {
		if rec, found := r.hosts[r.rumours[i].id]; found {
			out = append(out, rec.host)
		}
		r.rumours[i].left--
	}
	sent := slices.Clone(r.rumours[:n])
	r.rumours = append(r.rumours[n:], sent...)
	r.rumours = slices.DeleteFunc(r.rumours, func(x rumour) bool { return x.left <= 0 })
	return out
}
