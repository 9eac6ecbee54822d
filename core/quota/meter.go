package quota

import "time"

// Verdict says what becomes of an operation.
type Verdict uint8

// The verdicts.
const (
	// Admitted means that it may run.
	Admitted Verdict = iota
	// Asking means that it waits for the answer of a counter.
	Asking
	// Refused means that the team has used up its limit.
	Refused
)

// Decision is the answer to an operation.
type Decision struct {
	Verdict Verdict
	// RetryAfter tells a refused one when to come back.
	RetryAfter time.Duration
}

// maxAsking bounds the operations of a team that wait for one answer, a host.
const maxAsking = 256

// meter is what one host keeps of one team.
type meter struct {
	// unconfirmed counts the operations that were admitted before a grant.
	unconfirmed int
	// waiting counts the operations that wait for a grant. The request under way is for
	// askedFor of these, and for askedUnconfirmed that were admitted already.
	waiting                    int
	askedUnconfirmed, askedFor int
	asking                     bool
	// closedUntil is until when no counter has anything left.
	closedUntil time.Duration
	used        time.Duration
	// admitted and refused count its operations.
	admitted, refused int
}

// Use is what a host has decided of a team, since it last was idle for long.
type Use struct {
	Admitted, Refused int
	// Unconfirmed counts operations that were admitted and are not granted yet.
	Unconfirmed int
}

// Uses returns the use of every team that is active.
func (m *Meter) Uses() map[string]Use {
	out := make(map[string]Use, len(m.teams))
	for team, t := range m.teams {
		out[team] = Use{Admitted: t.admitted, Refused: t.refused, Unconfirmed: t.unconfirmed}
	}
	return out
}

// Meter decides for one host which operations of the teams run. It is not safe for
// concurrent use.
type Meter struct {
	// unconfirmedFrom is when operations may first run before they are granted: the
	// process before this one may have used the allowance in the same window.
	unconfirmedFrom time.Duration
	teams           map[string]*meter
	tidiedAt        time.Duration
}

// NewMeter returns the meter of a host that starts now.
func NewMeter(t Tolerance, now time.Duration) *Meter {
	return &Meter{unconfirmedFrom: now + t.Window, teams: map[string]*meter{}}
}

// Admit decides on an operation of a team of which some may run unconfirmed.
func (m *Meter) Admit(team string, l Limit, unconfirmed int, now time.Duration) Decision {
	if !l.Bounded {
		return Decision{Verdict: Admitted}
	}
	m.tidy(now)
	t := m.of(team)
	t.used = now
	switch {
	case t.unconfirmed < unconfirmed && now >= m.unconfirmedFrom:
		t.unconfirmed++
		t.admitted++
		return Decision{Verdict: Admitted}
	case now < t.closedUntil:
		t.refused++
		return Decision{Verdict: Refused, RetryAfter: t.closedUntil - now}
	case t.waiting >= maxAsking:
		t.refused++
		return Decision{Verdict: Refused, RetryAfter: maxAskingPause}
	}
	t.waiting++
	return Decision{Verdict: Asking}
}

// maxAskingPause is what callers are told where too many wait for an answer: about
// the time of one.
const maxAskingPause = 50 * time.Millisecond

func (m *Meter) of(team string) *meter {
	t, found := m.teams[team]
	if !found {
		t = &meter{}
		m.teams[team] = t
	}
	return t
}

// Request returns how many operations the counters are to be asked for now. It
// returns zero while they have been asked already, or have just said that they have
// nothing left. Each request is ended by TakeGrant or RequestFailed.
func (m *Meter) Request(team string, now time.Duration) int {
	t := m.of(team)
	if t.asking || now < t.closedUntil || t.unconfirmed+t.waiting == 0 {
		return 0
	}
	t.asking, t.askedUnconfirmed, t.askedFor = true, t.unconfirmed, t.waiting
	return t.askedUnconfirmed + t.askedFor
}

// TakeGrant takes a grant. It returns how many of the operations that wait run
// now, the oldest first, and how many of them are refused.
func (m *Meter) TakeGrant(team string, g Grant, now time.Duration) (run, refused int) {
	t := m.of(team)
	t.asking = false
	settled := min(g.Granted, t.askedUnconfirmed, t.unconfirmed)
	t.unconfirmed -= settled
	run = min(g.Granted-settled, t.askedFor, t.waiting)
	refused = min(t.askedFor, t.waiting) - run
	if g.RetryAfter > 0 {
		// Nothing is asked for until then, so that no answer would reach those that came
		// while this one was under way.
		refused = t.waiting - run
		t.closedUntil = now + g.RetryAfter
	}
	t.waiting -= run + refused
	t.admitted += run
	t.refused += refused
	return run, refused
}

// RequestFailed ends a request without a grant. The operations that it asked for are
// refused; what was admitted already stays unconfirmed.
func (m *Meter) RequestFailed(team string, now time.Duration) (refused int) {
	_, refused = m.TakeGrant(team, Grant{RetryAfter: failedPause}, now)
	return refused
}

// failedPause is how long nobody is asked after a request whose grant could not
// be used: about as long as a process takes to come back.
const failedPause = 200 * time.Millisecond

// Refund takes back an operation that was admitted and that no member has run, as long
// as it is unconfirmed; a grant is not given back.
func (m *Meter) Refund(team string) {
	t := m.of(team)
	if t.unconfirmed > 0 && !t.asking {
		t.unconfirmed--
	}
}

// tidy forgets the teams that are not used and have nothing unconfirmed.
func (m *Meter) tidy(now time.Duration) {
	if now-m.tidiedAt < tidyInterval {
		return
	}
	m.tidiedAt = now
	for team, t := range m.teams {
		if t.unconfirmed == 0 && t.waiting == 0 && !t.asking && now-t.used > forgetAfter {
			delete(m.teams, team)
		}
	}
}
