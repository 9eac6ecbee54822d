package replicaset

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/statement"
)

// TestRefusalWithAnotherPositionIsNotThatOfAnotherRead guards against a copy of a refusal that has
// the member's position of the time at which it is sent: the answer to the read stayed on the
// connection for the next one.
func TestRefusalWithAnotherPositionIsNotThatOfAnotherRead(t *testing.T) {
	_, s, m := newScriptedMember(t, script(
		"ERROR LAGGING p\r\nREADY I 1.1\r\n", "ERROR LAGGING p\r\nREADY I 1.2\r\n", signedRead("b", "I")+signedRead("c", "I"),
	))
	for _, item := range []string{"a", "b"} {
		res := runScripted(t, s, m, scriptedJob(JobRead, "FETCH "+item))
		require.Equal(t, statement.Behind, res.Answer.Code)
	}
	res := runScripted(t, s, m, scriptedJob(JobRead, "FETCH c"))
	require.NotEqual(t, "sig-b", res.Answer.Signature, "the answer to another read")
}
