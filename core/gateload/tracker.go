package gateload

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// MaxAge is the age from which on a report is not used. A gate's queue holds less than
	// a second of work of one slot, so by then it can be empty or full.
	MaxAge = time.Second
	// slotTimeWeight is the weight of a new sample of the slot time. A host has one or two
	// samples of a member per second, and must see within a few that the member has become
	// slow or fast again.
	slotTimeWeight = 0.5
)

// Tracker is what a host knows of the load of one member: the newest report of each of
// its gates, the statements that it has in progress through them, and how long a statement
// occupies a slot. The zero value knows nothing.
type Tracker struct {
	gates map[string]*gateState
	calls []Call
	// answeredSince is, by priority class, when the latest statement that the member has
	// answered was sent.
	answeredSince [MaxClasses]time.Duration
	// slotTime is the moving average of the time for which a statement occupies a slot of
	// the member; zero before the first answer.
	slotTime time.Duration
}

// gateState is the newest report of a gate.
type gateState struct {
	report Report
	at     time.Duration
	// sent counts the statements that this host has sent to the gate since the report.
	sent int
}

// Call is a statement in progress on a gate.
type Call struct {
	Gate      string
	Priority  int
	StartedAt time.Duration
}

// Known is the newest report of a gate.
type Known struct {
	Gate   string
	Report Report
	Age    time.Duration
}

// Member describes the member that the gates serve.
type Member struct {
	// Slots is how many statements it runs at once, Gates how many hosts share its
	// connections.
	Slots, Gates int
}

// occupancy returns how many statements are on the member for each of its slots, at least
// one, given how many a gate runs. The other gates are taken to run as many as those that
// have reported lately do in the mean: a gate by itself runs few statements, so that one
// more or less on it says little about the member.
func (t *Tracker) occupancy(running int, m Member, now time.Duration) float64 {
	sum, reports := 0, 0
	for _, g := range t.gates {
		if now-g.at < MaxAge {
			sum, reports = sum+g.report.Running, reports+1
		}
	}
	others := float64((max(m.Gates, 1)-1)*sum) / float64(max(reports, 1))
	return max((float64(running)+others)/float64(max(m.Slots, 1)), 1)
}

// Started records that a statement is sent to a gate.
func (t *Tracker) Started(c Call) {
	t.calls = append(t.calls, c)
	if g, found := t.gates[c.Gate]; found {
		g.sent++
	}
}

// Ended records that a statement is no longer in progress, and whether the member has
// answered it.
func (t *Tracker) Ended(c Call, answered bool) {
	if answered {
		since := &t.answeredSince[class(c.Priority)]
		*since = max(*since, c.StartedAt)
	}
	if i := slices.Index(t.calls, c); i >= 0 {
		t.calls = slices.Delete(t.calls, i, i+1)
	}
}

// class returns the index of a priority class.
func class(priority int) int { return min(max(priority, 0), MaxClasses-1) }

// Record keeps a gate's report.
func (t *Tracker) Record(gate string, r Report, now time.Duration) {
	maps.DeleteFunc(t.gates, func(_ string, g *gateState) bool { return now-g.at >= MaxAge })
	if t.gates == nil {
		t.gates = map[string]*gateState{}
	}
	t.gates[gate] = &gateState{report: r, at: now}
}

// Forget drops the report of a gate that did not answer.
func (t *Tracker) Forget(gate string) { delete(t.gates, gate) }

// ObserveServiceTime records how long the member took for a statement that a gate ran,
// without the wait at the gate and the way to it. The gate's report has been recorded.
func (t *Tracker) ObserveServiceTime(d time.Duration, r Report, m Member, now time.Duration) {
	sample := time.Duration(float64(max(d, 0)) / t.occupancy(r.Running, m, now))
	if t.slotTime == 0 {
		t.slotTime = sample
		return
	}
	t.slotTime += time.Duration(slotTimeWeight * float64(sample-t.slotTime))
}

// Get returns the report of a gate unless it is too old.
func (t *Tracker) Get(gate string, now time.Duration) (Known, bool) {
	g, found := t.gates[gate]
	if !found || now-g.at >= MaxAge {
		return Known{}, false
	}
	return Known{Gate: gate, Report: g.report, Age: now - g.at}, true
}

// HasReports reports whether a gate has reported lately.
func (t *Tracker) HasReports(now time.Duration) bool {
	for _, g := range t.gates {
		if now-g.at < MaxAge {
			return true
		}
	}
	return false
}

// All returns the reports that are not too old, by gate.
func (t *Tracker) All(now time.Duration) []Known {
	var out []Known
	for gate := range t.gates {
		if k, found := t.Get(gate, now); found {
			out = append(out, k)
		}
	}
	slices.SortFunc(out, func(a, b Known) int { return cmp.Compare(a.Gate, b.Gate) })
	return out
}

// Estimate is the expected time that a statement takes, without the way to the gate.
type Estimate struct {
	// Service is the time in the member, with its queue, Wait the wait at the gate.
	Service, Wait time.Duration
}

// Estimate returns what a statement of a priority class that is sent to a gate now is
// expected to take. If this gate has not reported lately, the newest report of another
// gate of the member serves, because the gates share its slots. It returns false if none
// has.
func (t *Tracker) Estimate(gate string, priority int, m Member, now time.Duration) (Estimate, bool) {
	g, found := t.newest(gate, now)
	if !found {
		return Estimate{}, false
	}
	// What this host has sent since the report is on the member as well, or waits if the
	// gate has no connection left.
	running := min(g.report.Running+g.sent, g.report.Capacity)
	queued := g.report.Running + g.sent - running
	service := time.Duration(float64(t.slotTime) * t.occupancy(running, m, now))
	return Estimate{
		Service: service,
		Wait:    g.report.WaitOf(priority) + service*time.Duration(queued)/time.Duration(g.report.Capacity),
	}, true
}

// newest returns the report of a gate, or if it has none the newest one of another gate.
func (t *Tracker) newest(gate string, now time.Duration) (*gateState, bool) {
	var best *gateState
	for address, g := range t.gates {
		switch {
		case now-g.at >= MaxAge:
		case address == gate:
			return g, true
		case best == nil || g.at > best.at:
			best = g
		}
	}
	return best, best != nil
}

// OldestCall returns for how long the oldest statement in progress has lasted, of those
// that do not stand behind a priority class: another one sent now is unlikely to take less.
// Reports come with answers, so none tells that there are none. A statement counts only
// while none sent after it, of its class or a lower one, was answered: otherwise it only
// runs longer than others.
func (t *Tracker) OldestCall(priority int, now time.Duration) time.Duration {
	oldest := time.Duration(0)
	for _, c := range t.calls {
		overtaken := slices.ContainsFunc(t.answeredSince[class(c.Priority):], func(sent time.Duration) bool { return sent > c.StartedAt })
		if c.Priority <= priority && !overtaken {
			oldest = max(oldest, now-c.StartedAt)
		}
	}
	return oldest
}
