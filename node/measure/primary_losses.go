package measure

import (
	"slices"
	"time"

	"github.com/dotterelswitch/dotterelswitch/node/eventlog"
)

// PrimaryLoss is the loss of a primary and its replacement. Durations are offsets
// from At; zero stands for steps that no line reports.
type PrimaryLoss struct {
	Service string
	// Lost is the lost primary, Next the one that replaced it.
	Lost, Next string
	// At is when the last request that the lost primary answered was sent.
	At time.Time
	// Suspected is when the first host considered the primary lost.
	Suspected time.Duration `json:"Believed"`
	// Agreed is when a majority did or the promotion lock was taken, and Ordered when
	// the platform was called for a promotion.
	Agreed, Ordered time.Duration
	// Leads is when the host that ran the promotion observed the new primary.
	Leads time.Duration
	// KnownHalf and KnownAll are when half and all of the hosts that log the change of
	// primary had observed it.
	KnownHalf, KnownAll time.Duration
	// FirstWrite is when the first write was acknowledged: the failover gap.
	FirstWrite time.Duration
	// StillAlive is set if the lost primary refused statements afterwards, so it had
	// not failed.
	StillAlive bool `json:"Living"`
}

const (
	// maxFailoverDuration bounds the time between the promotion and the other lines
	// of one loss.
	maxFailoverDuration = 20 * time.Second
	// aliveRefusalWindow is how soon after the promotion a refusal shows that the old
	// primary is alive.
	aliveRefusalWindow = time.Second
)

// refusedAsReplica is the logged source of a primary_changed event after a member
// refused a statement because it is a replica.
const refusedAsReplica = "refused as replica"

// FindPrimaryLosses finds the losses of primaries in the lines of all hosts.
func FindPrimaryLosses(lines []Line) []PrimaryLoss {
	lines = slices.Clone(lines)
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	var out []PrimaryLoss
	for i, l := range lines {
		if l.Event != eventlog.Promoted.Number {
			continue
		}
		if loss, found := lossEndedBy(lines, i); found {
			out = append(out, loss)
		}
	}
	return out
}

// lossEndedBy assembles the loss that ended with the promotion at an index. It
// reports false for the planned replacement of a primary.
func lossEndedBy(lines []Line, promoted int) (PrimaryLoss, bool) {
	end := lines[promoted]
	loss := PrimaryLoss{Service: end.Service, Next: end.Upstream}
	var suspected, agreed, ordered time.Time
	setFirst := func(at *time.Time, t time.Time) {
		if at.IsZero() {
			*at = t
		}
	}
	for _, l := range lines[:promoted] {
		if l.Service != end.Service || end.Time.Sub(l.Time) > maxFailoverDuration {
			continue
		}
		switch l.Event {
		case eventlog.Promoted.Number:
			suspected, agreed, ordered, loss.Lost, loss.At = time.Time{}, time.Time{}, time.Time{}, "", time.Time{}
		case eventlog.PrimaryBelievedDead.Number:
			setFirst(&suspected, l.Time)
			if alive := l.Time.Add(-time.Duration(l.AliveAgoMillis * float64(time.Millisecond))); l.AliveAgoMillis > 0 && alive.After(loss.At) {
				loss.At = alive
			}
			loss.Lost = l.Upstream
		case eventlog.PrimaryLossAgreed.Number, eventlog.PromotionLockTaken.Number:
			setFirst(&agreed, l.Time)
		case eventlog.PromotionOrdered.Number:
			setFirst(&ordered, l.Time)
		}
	}
	if suspected.IsZero() || loss.At.IsZero() {
		return PrimaryLoss{}, false
	}
	since := func(t time.Time) time.Duration {
		if t.IsZero() {
			return 0
		}
		return t.Sub(loss.At)
	}
	loss.Suspected, loss.Agreed, loss.Ordered, loss.Leads = since(suspected), since(agreed), since(ordered), since(end.Time)
	loss.addLaterEvents(lines, end)
	return loss, true
}

// addLaterEvents adds the events after the promotion.
func (loss *PrimaryLoss) addLaterEvents(lines []Line, end Line) {
	learnedAt := map[string]time.Duration{}
	startedBefore := map[string]bool{}
	for _, l := range lines {
		// Hosts that start after the promotion know the new primary from the start.
		startedBefore[l.Host] = startedBefore[l.Host] || l.Time.Before(end.Time)
		at := l.Time.Sub(loss.At)
		if l.Service != loss.Service || at < 0 || l.Time.Sub(end.Time) > maxFailoverDuration {
			continue
		}
		switch {
		case l.Event == eventlog.PrimaryChanged.Number && l.Upstream == loss.Next && startedBefore[l.Host]:
			if _, found := learnedAt[l.Host]; !found {
				learnedAt[l.Host] = at
			}
		case l.Event == eventlog.PrimaryChanged.Number && l.Was == loss.Lost && l.Source == refusedAsReplica && l.Time.Sub(end.Time) < aliveRefusalWindow:
			loss.StillAlive = true
		case l.Event == eventlog.PrimaryFirstWrite.Number && l.Upstream == loss.Next && (loss.FirstWrite == 0 || at < loss.FirstWrite):
			loss.FirstWrite = at
		}
	}
	var times []time.Duration
	for _, at := range learnedAt {
		times = append(times, at)
	}
	if len(times) == 0 {
		return
	}
	slices.Sort(times)
	loss.KnownHalf, loss.KnownAll = times[len(times)/2], times[len(times)-1]
}
