package replicaset

import (
	"context"
	"errors"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/catalog"
	"github.com/dotterelswitch/dotterelswitch/core/connpool"
	"github.com/dotterelswitch/dotterelswitch/core/feature"
	"github.com/dotterelswitch/dotterelswitch/core/returns"
	"github.com/dotterelswitch/dotterelswitch/core/statement"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
)

const (
	// returnMargin is the part of a statement's time that a caller that comes back needs:
	// for a round trip between regions and a busy member's queue.
	returnMargin = 150 * time.Millisecond
	// assumedHoldTime is how long a statement holds a slot of a primary of which this host
	// has seen no answer, the initial mean of core/connpool.
	assumedHoldTime = 30 * time.Millisecond
	// minHoldTime bounds what remains of a response time without the round trip.
	minHoldTime = time.Millisecond
	// primaryRateInterval is how often the rate of the primary is recorded.
	primaryRateInterval = time.Second
)

// memberReturns is the schedule of the callers that a gate has refused for a member.
type memberReturns struct {
	schedule *returns.Schedule
	counts   ReturnCounts
}

// groupReturns is the schedule of the callers that this host has refused for a group, for
// example because there is no primary. Set.mu guards it.
type groupReturns struct {
	memberReturns
	// hosts is the number of hosts in the fleet.
	hosts int
	// primaryRate is the latest known rate of the group's primary, in statements per
	// second; zero if there was none.
	primaryRate   float64
	primaryRateAt time.Duration
}

// identityParts returns what identifies a statement when it comes back: all but its id.
func identityParts(st statement.Statement) []string {
	return []string{st.Text, st.Shape.Text, st.Value}
}

// newWaiter returns the waiter of a job, and the return as which the job was recognized.
// A returned statement keeps its original target deadline, so that it precedes others that
// are equally important.
func (m *Member) newWaiter(j Job) (connpool.Waiter, returns.Return) {
	w := j.Request.waiter()
	if !m.set.features.Enabled(feature.ReturnSchedule) {
		return w, returns.Return{}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	returned, found := m.returns.schedule.Arrive(clock.Now(), j.Request.Team, identityParts(j.Request.Statement)...)
	if found {
		m.returns.counts.Recognized++
		w.TargetDeadline = min(w.TargetDeadline, returned.TargetDeadline)
	}
	return w, returned
}

// scheduleReturn replaces the retry time of a refused job by a moment of the member's
// schedule. Refusals for reasons other than too many statements are returned as they are.
func (m *Member) scheduleReturn(ctx context.Context, j Job, w connpool.Waiter, returned returns.Return, err error) error {
	var refused *RefusedError
	if !m.set.features.Enabled(feature.ReturnSchedule) || !errors.As(err, &refused) || ctx.Err() != nil {
		return err
	}
	weight, hosts := m.set.returnWeight(j), m.set.hostCount()
	ownTimeout := !m.set.replicaCouldServe(m, j)
	m.mu.Lock()
	defer m.mu.Unlock()
	now := clock.Now()
	rate := m.serviceRate(hosts)
	forecast := refused.RetryAfter
	if forecast == 0 {
		// A refused waiter counts as overload only if the member's connections are in use:
		// the host tries a member again that does not answer, but not one that is busy.
		if !refused.outOfTime || !ownTimeout || m.pool.InUse() == 0 || m.health.Suspect(now) {
			return err
		}
		forecast = time.Duration(float64(m.pool.Waiting()+1) / rate * float64(time.Second))
	}
	latest := j.Request.Deadline - returnMargin
	if returned.Refusals > 0 && returned.Latest > now {
		latest = returned.Latest
	}
	delay := m.returns.schedule.Allocate(returns.Refusal{
		Priority: w.Priority, Return: returned, Identity: returns.IdentityOf(j.Request.Team, identityParts(j.Request.Statement)...),
		TargetDeadline: w.TargetDeadline, NotBefore: now + forecast, Latest: latest, Weight: weight,
	}, rate, now)
	m.returns.counts.add(w.Priority, delay)
	return &RefusedError{Reason: refused.Reason, RetryAfter: delay}
}

// replicaCouldServe reports whether a job may be a read that came to the primary although a
// replica may serve it later. Its host shortens the wait at the primary and then looks for a
// replica again, which a retry time would keep it from. A begin counts too, as it does not
// tell whether the transaction is read-only.
func (s *Set) replicaCouldServe(m *Member, j Job) bool {
	return j.Kind != JobWrite && j.Request.Route.Consistency != catalog.Primary && s.isAssumedPrimary(m)
}

// returnWeight returns the places that a refused job takes in a member's schedule. A read
// that several members can serve is refused by each of them and comes back once.
func (s *Set) returnWeight(j Job) float64 {
	if j.Request.Route.Consistency == catalog.Primary || (j.Kind != JobRead && (j.Kind != JobBegin || j.RequirePrimary)) {
		return 1
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return 1 / float64(max(len(s.members), 1))
}

// hostCount returns the number of hosts in the fleet.
func (s *Set) hostCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.returns.hosts
}

// gateCount returns how many hosts share the member's connections. It is called with mu held.
func (m *Member) gateCount(hosts int) int {
	if len(m.share.GateHosts) > 0 {
		return len(m.share.GateHosts)
	}
	// The connections are divided among all hosts.
	return max(hosts, 1)
}

// serviceRate returns how many statements per second the member runs for this gate. It is
// called with mu held.
func (m *Member) serviceRate(hosts int) float64 {
	return m.pool.ServiceRate(float64(m.entry.Slots) / float64(m.gateCount(hosts)))
}

// primaryRate returns how many statements per second the member runs for all hosts.
func (m *Member) primaryRate(hosts int) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.share.GateAddresses) > 0 {
		hold := assumedHoldTime
		if m.responseTime > 0 {
			hold = max(m.responseTime-m.set.topology.EstimateRoundTrip(m.entry.Zone), minHoldTime)
		}
		return float64(max(m.entry.Slots, 1)) / hold.Seconds()
	}
	return m.serviceRate(hosts) * float64(m.gateCount(hosts))
}

// recordPrimaryRate records the rate of a usable primary. It is called with mu held.
func (s *Set) recordPrimaryRate(m *Member, now time.Duration) {
	r := &s.returns
	if r.primaryRate > 0 && now-r.primaryRateAt < primaryRateInterval {
		return
	}
	r.primaryRate, r.primaryRateAt = m.primaryRate(r.hosts), now
}

// retryAfter returns when a caller should retry a statement that failed for a reason.
// Without an estimate by a gate, this host tells its callers to come back from
// defaultRetryAfter on, at its part of the rate at which the group's primary last ran
// statements.
func (s *Set) retryAfter(req Request, err error) time.Duration {
	var refused *RefusedError
	estimated := errors.As(err, &refused) && refused.RetryAfter > 0
	if estimated && refused != errNoPrimary {
		return refused.RetryAfter
	}
	if !s.features.Enabled(feature.ReturnSchedule) {
		return defaultRetryAfter
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	rate := s.returns.primaryRate
	if rate == 0 {
		rate = 1 / assumedHoldTime.Seconds()
	}
	return s.scheduleRefusal(req, rate, defaultRetryAfter)
}

// scheduleRefusal returns the retry time of a statement that this host refuses without
// asking a gate. rate is how many statements per second the group runs for all hosts, and
// forecast the earliest useful retry time. It is called with mu held.
func (s *Set) scheduleRefusal(req Request, rate float64, forecast time.Duration) time.Duration {
	r, now := &s.returns, clock.Now()
	delay := r.schedule.Allocate(returns.Refusal{
		Priority: req.Route.Priority, NotBefore: now + forecast, Latest: req.Deadline - returnMargin,
	}, rate/float64(max(r.hosts, 1)), now)
	r.counts.add(req.Route.Priority, delay)
	return delay
}

// retryTimeBounds are the upper bounds by which retry times are counted.
var retryTimeBounds = [...]time.Duration{100 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second, returns.MaxDelay}

// maxCountedPriority is the lowest priority class that is counted by itself.
const maxCountedPriority = 3

// ReturnCounts are the retry times that were told since the last call of TakeReturnCounts.
type ReturnCounts struct {
	// told counts them by priority class and bound.
	told [maxCountedPriority + 1][len(retryTimeBounds)]int
	// Recognized is the number of statements that came back at their moments.
	Recognized int
}

func (c *ReturnCounts) add(priority int, delay time.Duration) {
	bound := 0
	for bound < len(retryTimeBounds)-1 && delay > retryTimeBounds[bound] {
		bound++
	}
	c.told[min(max(priority, 0), maxCountedPriority)][bound]++
}

// Each calls f for each priority class and each upper bound of a retry time with the number
// of retry times above the previous bound, if there are any.
func (c *ReturnCounts) Each(f func(priority int, upTo time.Duration, n int)) {
	for priority, counts := range c.told {
		for i, n := range counts {
			if n > 0 {
				f(priority, retryTimeBounds[i], n)
			}
		}
	}
}

// take returns the counts and resets them.
func (c *ReturnCounts) take() ReturnCounts {
	out := *c
	*c = ReturnCounts{}
	return out
}

func (c *ReturnCounts) merge(o ReturnCounts) {
	c.Recognized += o.Recognized
	for priority, counts := range o.told {
		for i, n := range counts {
			c.told[priority][i] += n
		}
	}
}

// TakeReturnCounts returns the counts of this host since the last call.
func (s *Set) TakeReturnCounts() ReturnCounts {
	s.mu.Lock()
	sum := s.returns.counts.take()
	s.mu.Unlock()
	for _, m := range s.Members() {
		m.mu.Lock()
		sum.merge(m.returns.counts.take())
		m.mu.Unlock()
	}
	return sum
}
