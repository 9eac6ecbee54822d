package succession_test

import (
	"slices"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dotterelswitch/dotterelswitch/core/fixedseed"
	"github.com/dotterelswitch/dotterelswitch/core/logpos"
	"github.com/dotterelswitch/dotterelswitch/core/statement"
	"github.com/dotterelswitch/dotterelswitch/core/succession"
)

func TestMain(m *testing.M) { fixedseed.Main(m) }

func report(id string, term, offset int, leaving bool) succession.Report {
	p := logpos.Position{Term: logpos.Term(term), Offset: logpos.Offset(offset)}
	return succession.Report{ID: id, Leaving: leaving, Status: statement.Status{Received: p}}
}

func TestChoosesTheFurthestLog(t *testing.T) {
	got, ok := succession.Choose([]succession.Report{report("a", 3, 10, false), report("b", 3, 12, true)}, 2, 0)
	require.True(t, ok)
	require.Equal(t, "b", got.ID, "what the other lacks would be lost")
	got, _ = succession.Choose([]succession.Report{report("a", 4, 2, false), report("b", 3, 12, false)}, 2, 0)
	require.Equal(t, "a", got.ID, "a newer term goes before a longer log")
	got, _ = succession.Choose([]succession.Report{report("a", 3, 12, true), report("b", 3, 12, false)}, 2, 0)
	require.Equal(t, "b", got.ID, "of equal logs the member that stays")
}

func TestChoosesNothingOutOfNothing(t *testing.T) {
	_, ok := succession.Choose(nil, 2, 0)
	require.False(t, ok)
}

// TestAcknowledgedCommitSurvives: with commits on n replicas before they are
// acknowledged, whatever is chosen holds all of them.
func TestAcknowledgedCommitSurvives(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		replicas := rapid.IntRange(1, 5).Draw(t, "replicas")
		sync := rapid.IntRange(1, replicas).Draw(t, "sync")
		all := make([]succession.Report, replicas)
		for i := range all {
			all[i] = report(string(rune('a'+i)), 1, rapid.IntRange(0, 20).Draw(t, "offset"), rapid.Bool().Draw(t, "leaving"))
		}
		// The newest acknowledged commit is on sync replicas.
		offsets := make([]int, replicas)
		for i, r := range all {
			offsets[i] = int(r.Status.Received.Offset)
		}
		acknowledged := nthHighest(offsets, sync)
		var answered []succession.Report
		for _, r := range all {
			if rapid.Bool().Draw(t, "answers") {
				answered = append(answered, r)
			}
		}
		got, ok := succession.Choose(answered, replicas, sync)
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

// TestMinorityDoesNotReplace: a cut between the primary and some hosts must
// not roll back what the others had acknowledged.
func TestMinorityDoesNotReplace(t *testing.T) {
	live := []string{"a", "b", "c", "d"}
	require.False(t, succession.Lost([]string{"a", "b"}, live))
	require.True(t, succession.Lost([]string{"a", "b", "c"}, live))
	require.False(t, succession.Lost([]string{"x", "y", "z"}, live), "hosts that are gone have no voice")
	require.False(t, succession.Lost([]string{"a"}, nil), "nothing is known of the fleet")
	require.True(t, succession.Lost([]string{"a"}, []string{"a"}))
}

// TestVotersAreFewAndAgreed: all hosts name the same voters whatever order they
// know the fleet in, and a host that joins or leaves changes few of them.
func TestVotersAreFewAndAgreed(t *testing.T) {
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

func TestBelief(t *testing.T) {
	var b succession.Belief
	b.Claimed("a", 5)
	require.Equal(t, "a", b.Primary())
	b.Proved("b", 3)
	require.Equal(t, "b", b.Primary())
	b.Claimed("a", 5)
	require.Equal(t, "b", b.Primary(), "an entry that was heard before proves nothing anew")
	b.Proved("a", 2)
	require.Equal(t, "b", b.Primary(), "an answer of an older term came late")
	b.Denied("a")
	require.Equal(t, "b", b.Primary())
	b.Denied("b")
	require.Empty(t, b.Primary())
	b.Told("b", 3)
	require.Empty(t, b.Primary(), "another host has not heard of the denial yet")
	b.Claimed("c", 9)
	require.Equal(t, "c", b.Primary())
	b.Resigned("c")
	require.Empty(t, b.Primary())
}

// TestClaimOfAMemberThatIsNotThereCostsNoPrimary replays the entry of an ended
// life, carried out late by the store, which calls itself primary.
func TestClaimOfAMemberThatIsNotThereCostsNoPrimary(t *testing.T) {
	var b succession.Belief
	b.Proved("a", 3)
	b.Claimed("ghost", 20)
	require.Equal(t, "ghost", b.Primary(), "a new primary is known by its claim first")
	b.Denied("ghost")
	require.Equal(t, "a", b.Primary())
	b.Claimed("ghost", 21)
	b.Denied("a")
	b.Denied("ghost")
	require.Empty(t, b.Primary(), "the proof does not outlive a denial")
}

// TestHostWithoutAPrimaryBelievesWhatOthersProved: a host that keeps no
// connection to the primary has only others to hear it from.
func TestHostWithoutAPrimaryBelievesWhatOthersProved(t *testing.T) {
	var b succession.Belief
	b.Told("a", 3)
	require.Equal(t, "a", b.Primary())
	b.Told("b", 3)
	require.Equal(t, "a", b.Primary())
	b.Told("c", 4)
	require.Equal(t, "c", b.Primary())
	b.Claimed("ghost", 9)
	b.Resigned("c")
	b.Denied("ghost")
	require.Empty(t, b.Primary())
	b.Told("c", 4)
	require.Equal(t, "c", b.Primary())
}
