package replicaset

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/statement"
)

// TestRefusalOfWriteSaysNothingOfReader guards against a copy of READONLY, the refusal of a write,
// that arrives as the answer to a read: a member that was promoted since was taken for a replica.
func TestRefusalOfWriteSaysNothingOfReader(t *testing.T) {
	const refusal = "ERROR READONLY p\r\nREADY I 1.1\r\n"
	_, s, m := newScriptedMember(t, script(refusal, refusal+signedRead("a", "I")))
	res := runScripted(t, s, m, scriptedJob(JobWrite, "STORE a x"))
	require.Equal(t, statement.ReadOnlyMember, res.Answer.Code)
	s.observeResult(m, runScripted(t, s, m, scriptedJob(JobRead, "FETCH a")))
	id, _ := s.AssumedPrimary()
	require.Equal(t, "p", id)
}
