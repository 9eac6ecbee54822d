package succession_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/logpos"
	"github.com/dotterelswitch/dotterelswitch/core/outlier"
	"github.com/dotterelswitch/dotterelswitch/core/statement"
	"github.com/dotterelswitch/dotterelswitch/core/succession"
)

// failingUntil returns the verdict on a member that fails what it runs.
func failingUntil(until time.Duration) outlier.Ejection {
	return outlier.Ejection{Cause: outlier.Failing, Until: until}
}

// TestFailingPrimaryIsDue guards against a change on a host that has just started or within
// MinLeadTime of the last one, without a healthy replica, and for a slow primary.
func TestFailingPrimaryIsDue(t *testing.T) {
	var f succession.FailingPrimary
	now := 100 * time.Second
	verdict := failingUntil(time.Hour)
	require.False(t, f.Due(verdict, true, now), "no primary")
	f.ObservePrimary("a", now)
	require.False(t, f.Due(verdict, true, now), "a host that has just started")
	require.False(t, f.Due(verdict, true, now+succession.MinLeadTime-1))
	now += succession.MinLeadTime
	f.ObservePrimary("a", now)
	require.True(t, f.Due(verdict, true, now))
	require.False(t, f.Due(verdict, false, now), "no healthy replica")
	require.False(t, f.Due(outlier.Ejection{Cause: outlier.Slow, Until: time.Hour}, true, now), "a slow primary")
	require.False(t, f.Due(failingUntil(now), true, now), "an expired verdict")
	f.ObservePrimary("b", now)
	require.False(t, f.Due(verdict, true, now), "a primary that has just been promoted")
	now += succession.MinLeadTime
	require.True(t, f.Due(verdict, true, now))
	f.RecordStepDown(now)
	require.False(t, f.Due(verdict, true, now+succession.MinLeadTime-1), "a primary that leads again after its step-down")
}

// TestAttemptsOnFailingPrimaryAreBounded guards against a loop of calls while the primary
// does not step down.
func TestAttemptsOnFailingPrimaryAreBounded(t *testing.T) {
	var f succession.FailingPrimary
	f.ObservePrimary("a", 0)
	var attempts []time.Duration
	for now := succession.MinLeadTime; now < time.Minute; now += 50 * time.Millisecond {
		if f.Due(failingUntil(time.Hour), true, now) {
			f.RecordAttempt(now)
			attempts = append(attempts, now)
		}
	}
	require.Equal(t, []time.Duration{15 * time.Second, 20 * time.Second, 30 * time.Second, 45 * time.Second}, attempts)
}

// TestAttemptOfAnotherHostCounts guards against hosts that order a step-down one after the
// other, and against a host that waits for its own lock.
func TestAttemptOfAnotherHostCounts(t *testing.T) {
	const now = succession.MinLeadTime
	for name, c := range map[string]struct {
		lock       succession.Lock
		leaderSeen time.Duration
		due        bool
	}{
		"unchanged":        {succession.Lock{Holder: "x", Revision: 1}, 0, true},
		"taken by another": {succession.Lock{Holder: "y", Revision: 2}, 0, false},
		"taken by itself":  {succession.Lock{Holder: "self", Revision: 2}, 0, true},
		"holder leads":     {succession.Lock{Holder: "x", Revision: 1}, now, false},
	} {
		var f succession.FailingPrimary
		f.ObserveLeader("self", succession.Lock{Holder: "x", Revision: 1}, 0, 0)
		f.ObservePrimary("a", 0)
		f.ObserveLeader("self", c.lock, c.leaderSeen, now)
		require.Equal(t, c.due, f.Due(failingUntil(time.Hour), true, now), name)
		require.True(t, f.Due(failingUntil(time.Hour), true, now+5*time.Second), "%s: the next host takes over", name)
	}
}

// TestStepDownIsConfirmedByReplicaOnly guards against promoting beside a primary that has
// ignored the order.
func TestStepDownIsConfirmedByReplicaOnly(t *testing.T) {
	require.True(t, succession.StepDownConfirmed(statement.Status{Term: 3}, 4))
	require.False(t, succession.StepDownConfirmed(statement.Status{Primary: true, Term: 4}, 4))
	require.False(t, succession.StepDownConfirmed(statement.Status{Term: 5}, 4))
}

// TestCandidateHasCompleteLog guards against promoting a replica that lacks acknowledged
// writes, and an ejected one while another is complete.
func TestCandidateHasCompleteLog(t *testing.T) {
	status := func(id string, offset logpos.Offset, ejected bool) succession.CandidateStatus {
		return succession.CandidateStatus{ID: id, Ejected: ejected, Status: statement.Status{Received: logpos.Position{Term: 1, Offset: offset}}}
	}
	end := logpos.Position{Term: 1, Offset: 9}
	_, found := succession.ChooseComplete([]succession.CandidateStatus{status("a", 8, false)}, end)
	require.False(t, found)
	chosen, found := succession.ChooseComplete([]succession.CandidateStatus{status("a", 8, false), status("b", 9, true)}, end)
	require.True(t, found)
	require.Equal(t, "b", chosen.ID)
	chosen, _ = succession.ChooseComplete([]succession.CandidateStatus{status("b", 9, true), status("c", 9, false)}, end)
	require.Equal(t, "c", chosen.ID)
}
