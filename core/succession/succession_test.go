package succession_test

import (
	"slices"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dotterelswitch/dotterelswitch/core/fixedseed"
	"github.com/dotterelswitch/dotterelswitch/core/logpos"
	"github.com/dotterelswitch/dotterelswitch/core/membership"
	"github.com/dotterelswitch/dotterelswitch/core/statement"
	"github.com/dotterelswitch/dotterelswitch/core/succession"
)

func TestMain(m *testing.M) { fixedseed.Main(m) }

func report(id string, term, offset int, leaving bool) succession.CandidateStatus {
	p := logpos.Position{Term: logpos.Term(term), Offset: logpos.Offset(offset)}
	return succession.CandidateStatus{ID: id, Leaving: leaving, Status: statement.Status{Received: p}}
}

func TestChoosesMostAdvancedLog(t *testing.T) {
	got, ok := succession.ChooseCandidate([]succession.CandidateStatus{report("a", 3, 10, false), report("b", 3, 12, true)}, 2, 0)
	require.True(t, ok)
	require.Equal(t, "b", got.ID, "entries after the shorter log would be lost")
	got, _ = succession.ChooseCandidate([]succession.CandidateStatus{report("a", 4, 2, false), report("b", 3, 12, false)}, 2, 0)
	require.Equal(t, "a", got.ID, "a newer term takes precedence over a longer log")
	got, _ = succession.ChooseCandidate([]succession.CandidateStatus{report("a", 3, 12, true), report("b", 3, 12, false)}, 2, 0)
	require.Equal(t, "b", got.ID, "among equal logs, a leaving member is not preferred")
}

func TestNoCandidateWithoutAnswers(t *testing.T) {
	_, ok := succession.ChooseCandidate(nil, 2, 0)
	require.False(t, ok)
}

// TestAcknowledgedCommitSurvives: if every acknowledged commit is on
// syncReplicas replicas, the chosen candidate has all acknowledged commits.
func TestAcknowledgedCommitSurvives(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		replicas := rapid.IntRange(1, 5).Draw(t, "replicas")
		sync := rapid.IntRange(1, replicas).Draw(t, "sync")
		reports := make([]succession.CandidateStatus, replicas)
		for i := range reports {
			reports[i] = report(string(rune('a'+i)), 1, rapid.IntRange(0, 20).Draw(t, "offset"), rapid.Bool().Draw(t, "leaving"))
		}
		// The newest acknowledged commit is on sync replicas.
		offsets := make([]int, replicas)
		for i, r := range reports {
			offsets[i] = int(r.Status.Received.Offset)
		}
		acknowledged := nthHighest(offsets, sync)
		var answered []succession.CandidateStatus
		for _, r := range reports {
			if rapid.Bool().Draw(t, "answers") {
				answered = append(answered, r)
			}
		}
		got, ok := succession.ChooseCandidate(answered, replicas, sync)
		if ok && int(got.Status.Received.Offset) < acknowledged {
			t.Fatalf("chose %d, acknowledged %d", got.Status.Received.Offset, acknowledged)
		}
	})
}

func nthHighest(values []int, n int) int {
	for candidate := 100; candidate >= 0; candidate-- {
		count := 0
		for _, v := range values {
			if v >= candidate {
				count++
			}
		}
		if count >= n {
			return candidate
		}
	}
	return 0
}

// TestMinorityDoesNotReplacePrimary: a partition between the primary and a
// minority of hosts must not roll back writes that the others acknowledged.
func TestMinorityDoesNotReplacePrimary(t *testing.T) {
	live := []string{"a", "b", "c", "d"}
	require.False(t, succession.MajoritySuspects([]string{"a", "b"}, live))
	require.True(t, succession.MajoritySuspects([]string{"a", "b", "c"}, live))
	require.False(t, succession.MajoritySuspects([]string{"x", "y", "z"}, live), "hosts that are not voters do not count")
	require.False(t, succession.MajoritySuspects([]string{"a"}, nil), "without known voters there is no majority")
	require.True(t, succession.MajoritySuspects([]string{"a"}, []string{"a"}))
}

// TestVotersAreLimitedAndStable: the voters do not depend on the order of the
// hosts, and a host that joins replaces at most one voter.
func TestVotersAreLimitedAndStable(t *testing.T) {
	var fleet []string
	for i := range 60 {
		fleet = append(fleet, "host-"+strconv.Itoa(i))
	}
	voters := succession.Voters("svc", fleet)
	require.Len(t, voters, succession.MaxVoters)
	reversed := slices.Clone(fleet)
	slices.Reverse(reversed)
	require.Equal(t, voters, succession.Voters("svc", reversed))
	require.NotEqual(t, voters, succession.Voters("other", fleet))
	kept := 0
	for _, v := range succession.Voters("svc", append(fleet, "new")) {
		if slices.Contains(voters, v) {
			kept++
		}
	}
	require.GreaterOrEqual(t, kept, succession.MaxVoters-1)
	require.Len(t, succession.Voters("svc", fleet[:4]), 4)
}

func TestPrimaryTracker(t *testing.T) {
	var tracker succession.PrimaryTracker
	tracker.ObserveClaim("a", 5)
	require.Equal(t, "a", tracker.Primary())
	tracker.ConfirmLeadership("b", 3)
	require.Equal(t, "b", tracker.Primary())
	tracker.ObserveClaim("a", 5)
	require.Equal(t, "b", tracker.Primary(), "a claim of the same revision is ignored")
	tracker.ConfirmLeadership("a", 2)
	require.Equal(t, "b", tracker.Primary(), "a delayed confirmation of an older term is ignored")
	tracker.ObserveDenial("a")
	require.Equal(t, "b", tracker.Primary())
	tracker.ObserveDenial("b")
	require.Empty(t, tracker.Primary())
	tracker.ObservePeerConfirmation("b", 3)
	require.Empty(t, tracker.Primary(), "the other host may not know of the denial yet")
	tracker.ObserveClaim("c", 9)
	require.Equal(t, "c", tracker.Primary())
	tracker.ObserveResignation("c")
	require.Empty(t, tracker.Primary())
}

// TestDeniedClaimRestoresConfirmedPrimary covers a delayed write of the directory
// entry of a member that no longer exists, in which it claims to be the primary.
func TestDeniedClaimRestoresConfirmedPrimary(t *testing.T) {
	var tracker succession.PrimaryTracker
	tracker.ConfirmLeadership("a", 3)
	tracker.ObserveClaim("former", 20)
	require.Equal(t, "former", tracker.Primary(), "a newer claim is accepted before it is confirmed")
	tracker.ObserveDenial("former")
	require.Equal(t, "a", tracker.Primary())
	tracker.ObserveClaim("former", 21)
	tracker.ObserveDenial("a")
	tracker.ObserveDenial("former")
	require.Empty(t, tracker.Primary(), "a denial ends the confirmation")
}

// TestUnreachableClaimantDoesNotReplaceConfirmedPrimary guards against the replacement of a
// primary that serves, because of an entry that names a member which nobody reaches.
func TestUnreachableClaimantDoesNotReplaceConfirmedPrimary(t *testing.T) {
	var tracker succession.PrimaryTracker
	tracker.ObserveClaim("first", 3)
	tracker.ObserveUnreachableClaimant("first")
	require.Equal(t, "first", tracker.Primary(), "nobody else is known as the primary")
	tracker.ConfirmLeadership("a", 3)
	tracker.ObserveClaim("odd", 20)
	require.Equal(t, "odd", tracker.Primary(), "a promotion may be learned from an entry first")
	tracker.ObserveUnreachableClaimant("other")
	require.Equal(t, "odd", tracker.Primary())
	tracker.ObserveUnreachableClaimant("odd")
	require.Equal(t, "a", tracker.Primary())
	tracker.ObserveClaim("odd", 20)
	require.Equal(t, "a", tracker.Primary(), "the entry is seen again with each change of the directory")
	tracker.ObserveUnreachableClaimant("a")
	require.Equal(t, "a", tracker.Primary(), "the failure of a confirmed primary is a case for a promotion")
	tracker.ObserveClaim("new", 21)
	tracker.ConfirmLeadership("new", 4)
	tracker.ObserveUnreachableClaimant("new")
	require.Equal(t, "new", tracker.Primary(), "it has proved its lead")
}

// TestPeerConfirmationGivesPrimaryToHostWithoutOne: a host without a connection
// to the primary learns of it only from other hosts.
func TestPeerConfirmationGivesPrimaryToHostWithoutOne(t *testing.T) {
	var tracker succession.PrimaryTracker
	tracker.ObservePeerConfirmation("a", 3)
	require.Equal(t, "a", tracker.Primary())
	tracker.ObservePeerConfirmation("b", 3)
	require.Equal(t, "a", tracker.Primary())
	tracker.ObservePeerConfirmation("c", 4)
	require.Equal(t, "c", tracker.Primary())
	tracker.ObserveClaim("former", 9)
	tracker.ObserveResignation("c")
	tracker.ObserveDenial("former")
	require.Empty(t, tracker.Primary())
	tracker.ObservePeerConfirmation("c", 4)
	require.Equal(t, "c", tracker.Primary())
}

// TestTakeoverRankIsThePositionAmongTheOthers compares ranks with a sorted fleet.
func TestTakeoverRankIsThePositionAmongTheOthers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		live := rapid.SliceOfNDistinct(rapid.StringMatching("[a-z]{3}"), 1, 20, rapid.ID).Draw(t, "live")
		host, holder := rapid.SampledFrom(live).Draw(t, "host"), rapid.SampledFrom(append(live, "")).Draw(t, "holder")
		order := slices.DeleteFunc(membership.RankBy("svc", live, func(h string) string { return h }), func(h string) bool {
			return h == holder && h != host
		})
		require.Equal(t, slices.Index(order, host), succession.TakeoverRank("svc", host, holder, live))
	})
}

// TestEmptyLogOfNewerTermIsNotPromoted guards against a member without its log that is
// promoted because its position names the newest term.
func TestEmptyLogOfNewerTermIsNotPromoted(t *testing.T) {
	got, ok := succession.ChooseCandidate([]succession.CandidateStatus{report("a", 2, 0, false), report("b", 1, 20, false)}, 2, 0)
	require.True(t, ok)
	require.Equal(t, "b", got.ID)
}
