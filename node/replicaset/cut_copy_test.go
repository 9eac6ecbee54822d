package replicaset

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestRowOfCutCopyIsNotThatOfAnotherRead guards against a copy of a read's answer that is cut after
// or within its row: the row was taken for one of the next read.
func TestRowOfCutCopyIsNotThatOfAnotherRead(t *testing.T) {
	for _, cut := range []string{"DATAROW a\r\n", "DATAROW "} {
		_, s, m := newScriptedMember(t, script(signedRead("a", "I"), cut+signedRead("b", "I")))
		res := runScripted(t, s, m, scriptedJob(JobRead, "FETCH a"))
		require.Equal(t, []string{"a"}, res.Answer.Rows)
		res = runScripted(t, s, m, scriptedJob(JobRead, "FETCH b"))
		if res.Err == nil {
			require.Equal(t, []string{"b"}, res.Answer.Rows)
		}
	}
}
