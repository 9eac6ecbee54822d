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
	// debt is what was run ahead of the payment.
	debt int
	// waiting counts the operations that wait for an answer, asked those that the
	// present question covers, and asked debt that it covers.
	waiting             int
	askedDebt, askedFor int
	asking              bool
	// closedUntil is until when the counter cannot pay.
	closedUntil time.Duration
	used        time.Duration
	// admitted and refused count its operations.
	admitted, refused int
}

// Use is what a host has decided of a team, since it last was idle for long.
type Use struct {
	Admitted, Refused int
	// Debt is what runs or has run ahead of its payment.
	Debt int
}

// Uses returns the use of every team that is active.
func (m *Meter) Uses() map[string]Use {
	out := make(map[string]Use, len(m.teams))
	for team, t := range m.teams {
		out[team] = Use{Admitted: t.admitted, Refused: t.refused, Debt: t.debt}
	}
	return out
}

// Meter decides for one host which operations of the teams run. It is not safe for
// concurrent use.
type Meter struct {
	// aheadFrom is when operations may first run ahead of their payment: the process
	// before this one may have used the reserve in the same window.
	aheadFrom time.Duration
	teams     map[string]*meter
	tidiedAt  time.Duration
}

// NewMeter returns the meter of a host that starts now and knows of no debt.
func NewMeter(t Tolerance, now time.Duration) *Meter {
	return &Meter{aheadFrom: now + t.Window, teams: map[string]*meter{}}
}

// Admit decides on an operation of a team that may run a number ahead.
func (m *Meter) Admit(team string, l Limit, ahead int, now time.Duration) Decision {
	if !l.Bounded {
		return Decision{Verdict: Admitted}
	}
	m.tidy(now)
	t := m.of(team)
	t.used = now
	switch {
	case t.debt < ahead && now >= m.aheadFrom:
		t.debt++
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

// Question returns how many operations the counter is to be asked for now. It
// returns zero while it has been asked already, or has just said that it cannot
// pay. Each question is ended by Answered or Unanswered.
func (m *Meter) Question(team string, now time.Duration) int {
	t := m.of(team)
	if t.asking || now < t.closedUntil || t.debt+t.waiting == 0 {
		return 0
	}
	t.asking, t.askedDebt, t.askedFor = true, t.debt, t.waiting
	return t.askedDebt + t.askedFor
}

// Answered takes a payment. It returns how many of the operations that wait run
// now, the oldest first, and how many of them are refused.
func (m *Meter) Answered(team string, p Payment, now time.Duration) (run, refused int) {
	t := m.of(team)
	t.asking = false
	settled := min(p.Paid, t.askedDebt, t.debt)
	t.debt -= settled
	run = min(p.Paid-settled, t.askedFor, t.waiting)
	refused = min(t.askedFor, t.waiting) - run
	t.waiting -= run + refused
	t.admitted += run
	t.refused += refused
	if p.RetryAfter > 0 {
		t.closedUntil = now + p.RetryAfter
	}
	return run, refused
}

// Unanswered ends a question without an answer. The operations that it asked for
// are refused; what was run ahead stays a debt.
func (m *Meter) Unanswered(team string, now time.Duration) (refused int) {
	_, refused = m.Answered(team, Payment{RetryAfter: unansweredPause}, now)
	return refused
}

// unansweredPause is how long nobody is asked after a question whose answer could not
// be used: about as long as a process takes to come back.
const unansweredPause = 200 * time.Millisecond

// Unused takes back an operation that was admitted and that no member has run. It
// shortens the debt; what is paid for already is not given back.
func (m *Meter) Unused(team string) {
	t := m.of(team)
	if t.debt > 0 && !t.asking {
		t.debt--
	}
}

// tidy forgets the teams that have no debt and are not used.
func (m *Meter) tidy(now time.Duration) {
	if now-m.tidiedAt < tidyInterval {
		return
	}
	m.tidiedAt = now
	for team, t := range m.teams {
		if t.debt == 0 && t.waiting == 0 && !t.asking && now-t.used > forgetAfter {
			delete(m.teams, team)
		}
	}
}
