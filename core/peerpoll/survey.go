package peerpoll

import (
	"slices"
	"time"
)

const (
	// surveyWindow is the time for which answers are taken as the state of the fleet: about
	// six rounds, in which a host asks 24 others.
	surveyWindow = 3 * time.Second
	// reachedWindow is the time for which a host that reaches the store is taken to do so:
	// two rounds.
	reachedWindow = 1100 * time.Millisecond
	// minSurveyed is the number of hosts that must have been asked in it, unless the fleet
	// is smaller.
	minSurveyed = 8
	// minAnswering is the share of them that must have answered. It is well above the half
	// that tells the larger side of a network partition from the smaller one.
	minAnswering = 0.75
)

// Survey collects the answers of recent rounds. It is not safe for concurrent use.
type Survey struct{ rounds []surveyRound }

type surveyRound struct {
	at                          time.Duration
	asked, answered, reachStore int
}

// Record adds the answers of a round in which some hosts were asked.
func (s *Survey) Record(asked int, answers []Answer, now time.Duration) {
	r := surveyRound{at: now, asked: asked, answered: len(answers)}
	for _, a := range answers {
		if a.Progress == nil || a.Progress.ReachesStore {
			r.reachStore++
		}
	}
	s.rounds = append(s.recent(now, surveyWindow), r)
}

// StoreReached reports whether a host has answered in the last rounds that reaches the
// store.
func (s *Survey) StoreReached(now time.Duration) bool {
	return slices.ContainsFunc(s.recent(now, reachedWindow), func(r surveyRound) bool { return r.reachStore > 0 })
}

// recent returns the rounds within a time before now.
func (s *Survey) recent(now, within time.Duration) []surveyRound {
	for i, r := range s.rounds {
		if now-r.at < within {
			return s.rounds[i:]
		}
	}
	return nil
}

// FleetWithoutStore reports whether nearly all hosts that were asked recently have
// answered, and none of them reaches the store, in a fleet of the given size.
func (s *Survey) FleetWithoutStore(hosts int, now time.Duration) bool {
	var sum surveyRound
	for _, r := range s.recent(now, surveyWindow) {
		sum.asked += r.asked
		sum.answered += r.answered
		sum.reachStore += r.reachStore
	}
	return sum.reachStore == 0 && sum.asked >= min(minSurveyed, max(hosts-1, 1)) && float64(sum.answered) >= minAnswering*float64(sum.asked)
}
