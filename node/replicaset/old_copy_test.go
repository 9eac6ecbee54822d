package replicaset

import (
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestOldCopyIsNotTheAnswerToAnotherRead guards against a copy that comes after many other
// answers.
func TestOldCopyIsNotTheAnswerToAnotherRead(t *testing.T) {
	const reads = 5000
	replies := make([]string, reads)
	for i := range reads {
		replies[i] = signedRead(strconv.Itoa(i), "I")
	}
	replies[reads-1] = replies[0] + replies[reads-1]
	_, s, m := newScriptedMember(t, script(replies...))
	for i := range reads {
		res := runScripted(t, s, m, scriptedJob(JobRead, "FETCH "+strconv.Itoa(i)))
		if i == reads-1 || res.Err != nil {
			require.NotEqual(t, "sig-0", res.Answer.Signature, "the answer to the first read")
		}
	}
}
