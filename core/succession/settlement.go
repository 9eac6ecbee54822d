package succession

import "time"

const (
	// PromotionVisible is the time after which a promotion that the platform has executed
	// shows on the members, which take 300 to 1,000 ms for it.
	PromotionVisible = 1500 * time.Millisecond
	// LateCallLimit is how long after it was sent a call without an answer may be executed.
	// The platform names 2 to 12 s.
	LateCallLimit = 15 * time.Second
)

// SettleStep is a step of a Settlement.
type SettleStep uint8

const (
	// AskMembers asks all members for their status.
	AskMembers SettleStep = iota
	// RaiseFence makes the platform refuse all calls with older tokens.
	RaiseFence
	// AwaitPromotion waits until a promotion that was executed before shows.
	AwaitPromotion
	// ResumeReplicas resumes the replicas that are paused, and releases held commits.
	ResumeReplicas
	// GiveUp ends the settlement without a result. It is tried again later.
	GiveUp
)

// Settlement ends what earlier promotions of a group, whose leader has died or got no answer,
// have left behind: replicas that are paused, hosts that hold commits, and calls to the
// platform that may be executed late. While any of these calls can replace the primary, the
// primary must not acknowledge commits that the replica of the call has not received. So the
// replicas are resumed and the commits released last.
type Settlement struct {
	// Pending is set if a call of this host has had no answer.
	Pending bool
	// Synced is set if the group has synchronous replicas, so that a late call of another
	// host loses acknowledged commits.
	Synced bool
	// Held is the token for which this host holds commits; zero if it does not.
	Held uint64
	// Since is since when the group is unsettled.
	Since time.Duration

	asked, fenced, waited bool
	hasPrimary, paused    bool
	fenceFailed           bool
}

// Next returns the next step.
func (s *Settlement) Next(now time.Duration) SettleStep {
	switch {
	case !s.asked:
		return AskMembers
	case !s.hasPrimary:
		return GiveUp
	case s.fenceFailed && now-s.Since <= LateCallLimit:
		return GiveUp
	case s.needsFence() && !s.fenced:
		return RaiseFence
	case s.fenced && !s.waited:
		return AwaitPromotion
	}
	return ResumeReplicas
}

// needsFence reports whether there is a sign of a promotion whose call may still be executed:
// a call without an answer, a replica that may be paused for it, or a host that holds commits.
// A host that has just started holds them without such a sign.
func (s *Settlement) needsFence() bool {
	return s.Pending || s.Synced && (s.paused || s.Held > UnknownPromotion)
}

// ObserveMembers records whether a member acts as the primary, and whether replicas are
// paused or, as they have not answered, may be.
func (s *Settlement) ObserveMembers(hasPrimary, paused bool) {
	s.asked, s.hasPrimary, s.paused = true, hasPrimary, paused
}

// ObserveFence records whether the platform has answered the call that raises the fence.
func (s *Settlement) ObserveFence(answered bool) { s.fenced, s.fenceFailed = true, !answered }

// ObserveWait records that PromotionVisible has passed. The members are asked again, because
// another one may be the primary now.
func (s *Settlement) ObserveWait() { s.waited, s.asked = true, false }
