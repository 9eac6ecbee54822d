package succession_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dotterelswitch/dotterelswitch/core/logpos"
	"github.com/dotterelswitch/dotterelswitch/core/statement"
	"github.com/dotterelswitch/dotterelswitch/core/succession"
)

func primaryStatus(term, lastTerm, offset int) statement.Status {
	return statement.Status{Primary: true, Term: logpos.Term(term), Received: position(lastTerm, offset)}
}

func replicaStatus(term, lastTerm, offset int) succession.CandidateStatus {
	return succession.CandidateStatus{ID: "r", Status: statement.Status{Term: logpos.Term(term), Received: position(lastTerm, offset)}}
}

// TestPrimaryBehindEntriesOfItsTermHasLostThem guards against a primary without its log
// that is believed by a host that has not seen how far the log went.
func TestPrimaryBehindEntriesOfItsTermHasLostThem(t *testing.T) {
	var c succession.LogCheck
	replicas := []succession.CandidateStatus{replicaStatus(1, 1, 0), replicaStatus(1, 1, 20)}
	require.Equal(t, succession.LogUndecided, c.Observe(primaryStatus(1, 1, 0), replicas, time.Second), "the replica may have answered later")
	require.Equal(t, succession.LogLost, c.Observe(primaryStatus(1, 1, 0), replicas, 1025*ms))
	require.Equal(t, position(1, 20), c.Reached(primaryStatus(1, 1, 0), succession.LogLost))
}

// TestPrimaryOfBusyGroupIsNotBehind guards against a healthy primary taken for one that has
// lost its log, because replicas answer later than it does.
func TestPrimaryOfBusyGroupIsNotBehind(t *testing.T) {
	var c succession.LogCheck
	require.Equal(t, succession.LogUndecided, c.Observe(primaryStatus(2, 2, 30), []succession.CandidateStatus{replicaStatus(2, 2, 33)}, time.Second))
	require.Equal(t, succession.LogComplete, c.Observe(primaryStatus(2, 2, 40), []succession.CandidateStatus{replicaStatus(2, 2, 43)}, 1025*ms))
}

// rollbackMoment is how long a replica may take to roll back, from what members promise.
const rollbackMoment = 900 * ms

// TestReplicaIsAheadOfNewPrimaryUntilRolledBack guards against a healthy primary taken for
// one that has lost its log, because a replica has yet to roll back.
func TestReplicaIsAheadOfNewPrimaryUntilRolledBack(t *testing.T) {
	var c succession.LogCheck
	ahead, now := []succession.CandidateStatus{replicaStatus(2, 1, 25)}, 10*time.Second
	for ; now < 10*time.Second+rollbackMoment; now += 100 * ms {
		require.Equal(t, succession.LogUndecided, c.Observe(primaryStatus(2, 1, 20), ahead, now))
	}
	rolledBack := []succession.CandidateStatus{replicaStatus(2, 1, 20)}
	require.Equal(t, succession.LogComplete, c.Observe(primaryStatus(2, 1, 20), rolledBack, now))
}

// TestLogStaysUndecidedWithoutAnswers guards against a primary that is trusted although
// replicas that answer no more have shown it to be behind.
func TestLogStaysUndecidedWithoutAnswers(t *testing.T) {
	var own, older succession.LogCheck
	require.Equal(t, succession.LogUnbounded, own.Observe(primaryStatus(2, 2, 0), nil, time.Second))
	require.Equal(t, succession.LogUndecided, own.Observe(primaryStatus(2, 2, 0), []succession.CandidateStatus{replicaStatus(2, 2, 20)}, time.Second))
	require.Equal(t, succession.LogLost, own.Observe(primaryStatus(2, 2, 0), nil, 1025*ms))
	require.Equal(t, succession.LogUndecided, older.Observe(primaryStatus(2, 2, 0), []succession.CandidateStatus{replicaStatus(2, 1, 20)}, time.Second))
	require.Equal(t, succession.LogUndecided, older.Observe(primaryStatus(2, 2, 0), nil, 1025*ms))
	empty := replicaStatus(2, 2, 0)
	empty.ID = "empty"
	require.Equal(t, succession.LogUndecided, older.Observe(primaryStatus(2, 2, 0), []succession.CandidateStatus{empty}, 1050*ms))
}

// TestReplicaOfOlderTermIsNoBound: it may have entries that the promotion rolled back.
func TestReplicaOfOlderTermIsNoBound(t *testing.T) {
	var c succession.LogCheck
	require.Equal(t, succession.LogUnbounded, c.Observe(primaryStatus(2, 1, 20), []succession.CandidateStatus{replicaStatus(1, 1, 25)}, time.Second))
}

// TestPrimaryWithoutWritesInItsTermHasLostItsLog guards against positions that are compared
// by term first: those of an empty log name the newest term.
func TestPrimaryWithoutWritesInItsTermHasLostItsLog(t *testing.T) {
	var c succession.LogCheck
	empty, replicas := primaryStatus(2, 2, 0), []succession.CandidateStatus{replicaStatus(2, 1, 20)}
	require.Equal(t, succession.LogUndecided, c.Observe(empty, replicas, time.Second))
	require.Equal(t, succession.LogLost, c.Observe(empty, replicas, time.Second+succession.RollbackTimeout))
	require.Equal(t, position(1, 20), c.Reached(empty, succession.LogLost))
}

// TestPausedReplicaLeavesLogUndecided: it cannot roll back, so time does not tell.
func TestPausedReplicaLeavesLogUndecided(t *testing.T) {
	var c succession.LogCheck
	paused := replicaStatus(2, 1, 20)
	paused.Status.PausedTerm = 3
	for now := time.Second; now < 5*time.Second; now += 500 * ms {
		require.Equal(t, succession.LogUndecided, c.Observe(primaryStatus(2, 2, 0), []succession.CandidateStatus{paused}, now))
	}
}

// TestHealthyPrimaryIsNeverWithoutItsLog compares the logs of random groups after a
// promotion: the primary writes, and replicas learn its term, roll back and receive at
// random times. A replica that knows the term rolls back within the timeout.
func TestHealthyPrimaryIsNeverWithoutItsLog(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const term = 2
		start := rapid.IntRange(0, 30).Draw(t, "start")
		primary, now := position(1, start), time.Second
		type replica struct {
			succession.CandidateStatus
			knowsSince time.Duration
		}
		var replicas []replica
		for i := range rapid.IntRange(1, 3).Draw(t, "replicas") {
			r := replicaStatus(1, 1, rapid.IntRange(0, 60).Draw(t, "received"))
			r.ID = fmt.Sprint("r", i)
			replicas = append(replicas, replica{CandidateStatus: r})
		}
		// step advances the group by a random time.
		step := func() {
			now += time.Duration(rapid.IntRange(1, 200).Draw(t, "ms")) * ms
			if writes := rapid.IntRange(0, 5).Draw(t, "writes"); writes > 0 {
				primary = position(term, int(primary.Offset)+writes)
			}
			for i := range replicas {
				r := &replicas[i]
				action := rapid.SampledFrom([]string{"nothing", "learn", "receive"}).Draw(t, "action")
				if action == "learn" && r.Status.Term < term {
					r.Status.Term, r.knowsSince = term, now
				}
				due := r.Status.Term == term && now-r.knowsSince >= rollbackMoment-400*ms
				if r.Status.Term == term && (action == "receive" || due) && int(r.Status.Received.Offset) > start && r.Status.Received.Term < term {
					r.Status.Received = position(1, start)
				}
				if r.Status.Term == term && action == "receive" {
					r.Status.Received = primary
				}
			}
		}
		var c succession.LogCheck
		for range rapid.IntRange(1, 12).Draw(t, "rounds") {
			step()
			st := statement.Status{Primary: true, Term: term, Received: primary}
			if rapid.Bool().Draw(t, "replicas answer later") {
				step()
			}
			var answered []succession.CandidateStatus
			for _, r := range replicas {
				if rapid.Bool().Draw(t, "answers") {
					answered = append(answered, r.CandidateStatus)
				}
			}
			require.NotEqual(t, succession.LogLost, c.Observe(st, answered, now))
		}
	})
}
