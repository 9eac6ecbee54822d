package replicaset

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/outlier"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
)

// TestMemberWithoutReadableAnswersIsNoticed guards against a member that logs callers in and then
// answers every statement with data that violates the protocol: it was neither suspected nor
// ejected, so that it got its share of all reads. The primary is suspected only: one whose copies
// are cut would be replaced if it was judged by them.
func TestMemberWithoutReadableAnswersIsNoticed(t *testing.T) {
	for _, id := range []string{"p", "r1"} {
		_, s, _ := newScriptedMember(t, func(int, string) string { return "NONSENSE\r\n" })
		m, _ := s.Member(id)
		for range 20 {
			res := runScripted(t, s, m, scriptedJob(JobRead, "FETCH a"))
			require.Error(t, res.Err)
		}
		now := clock.Now()
		require.True(t, m.Suspect(now), id)
		require.Equal(t, id != "p", m.Ejection(now) != outlier.Ejection{}, id)
	}
}
