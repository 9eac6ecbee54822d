package measure

import (
	"slices"
	"time"

	"github.com/dotterelswitch/dotterelswitch/node/eventlog"
)

// Loss is one primary that was lost and replaced. The times are offsets from the
// last proof of its life that any host had; zero for what no line tells.
type Loss struct {
	Service string
	// Lost and Next are the members that led before and after.
	Lost, Next string
	// At is the last proof of life.
	At time.Time
	// Believed is when the first host believed the primary lost, Agreed when enough
	// had, and Ordered when the platform was called.
	Believed, Agreed, Ordered time.Duration
	// Leads is when the host that led the promotion saw the next one lead.
	Leads time.Duration
	// KnownHalf and KnownAll are when half of the hosts that say so knew it, and the
	// last of them.
	KnownHalf, KnownAll time.Duration
	// FirstWrite is when the first write was acknowledged: the failover gap.
	FirstWrite time.Duration
	// Living tells that the lost primary refused work afterwards, so that it lived.
	Living bool
}

const (
	// lossLasts bounds how long the lines of one loss lie apart.
	lossLasts = 20 * time.Second
	// livingFor is how soon after the change a primary that lives refuses work.
	livingFor = time.Second
)

// refusedSource is the source of a change of belief after a member's refusal.
const refusedSource = "refused as replica"

// Losses finds the losses in the lines of all hosts.
func Losses(lines []Line) []Loss {
	lines = slices.Clone(lines)
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	var out []Loss
	for i, l := range lines {
		if l.Event != eventlog.Promoted.Number {
			continue
		}
		if loss, found := lossBefore(lines, i); found {
			out = append(out, loss)
		}
	}
	return out
}

// lossBefore puts the loss together that ended with a promotion. It reports false
// for a primary that was replaced as planned.
func lossBefore(lines []Line, promoted int) (Loss, bool) {
	end := lines[promoted]
	loss := Loss{Service: end.Service, Next: end.Upstream}
	var believed, agreed, ordered time.Time
	first := func(at *time.Time, t time.Time) {
		if at.IsZero() {
			*at = t
		}
	}
	for _, l := range lines[:promoted] {
		if l.Service != end.Service || end.Time.Sub(l.Time) > lossLasts {
			continue
		}
		switch l.Event {
		case eventlog.Promoted.Number:
			believed, agreed, ordered, loss.Lost, loss.At = time.Time{}, time.Time{}, time.Time{}, "", time.Time{}
		case eventlog.PrimaryBelievedDead.Number:
			first(&believed, l.Time)
			if alive := l.Time.Add(-time.Duration(l.AliveAgo * float64(time.Millisecond))); l.AliveAgo > 0 && alive.After(loss.At) {
				loss.At = alive
			}
			loss.Lost = l.Upstream
		case eventlog.PrimaryLossAgreed.Number, eventlog.PromotionLockTaken.Number:
			first(&agreed, l.Time)
		case eventlog.PromotionOrdered.Number:
			first(&ordered, l.Time)
		}
	}
	if believed.IsZero() || loss.At.IsZero() {
		return Loss{}, false
	}
	since := func(t time.Time) time.Duration {
		if t.IsZero() {
			return 0
		}
		return t.Sub(loss.At)
	}
	loss.Believed, loss.Agreed, loss.Ordered, loss.Leads = since(believed), since(agreed), since(ordered), since(end.Time)
	loss.learnAfter(lines, end)
	return loss, true
}

// learnAfter adds what followed the promotion.
func (loss *Loss) learnAfter(lines []Line, end Line) {
	known := map[string]time.Duration{}
	there := map[string]bool{}
	for _, l := range lines {
		// Hosts that start later know the next primary from the start.
		there[l.Host] = there[l.Host] || l.Time.Before(end.Time)
		at := l.Time.Sub(loss.At)
		if l.Service != loss.Service || at < 0 || l.Time.Sub(end.Time) > lossLasts {
			continue
		}
		switch {
		case l.Event == eventlog.PrimaryChanged.Number && l.Upstream == loss.Next && there[l.Host]:
			if _, found := known[l.Host]; !found {
				known[l.Host] = at
			}
		case l.Event == eventlog.PrimaryChanged.Number && l.Was == loss.Lost && l.Source == refusedSource && l.Time.Sub(end.Time) < livingFor:
			loss.Living = true
		case l.Event == eventlog.PrimaryFirstWrite.Number && l.Upstream == loss.Next && (loss.FirstWrite == 0 || at < loss.FirstWrite):
			loss.FirstWrite = at
		}
	}
	var times []time.Duration
	for _, at := range known {
		times = append(times, at)
	}
	if len(times) == 0 {
		return
	}
	slices.Sort(times)
	loss.KnownHalf, loss.KnownAll = times[len(times)/2], times[len(times)-1]
}
