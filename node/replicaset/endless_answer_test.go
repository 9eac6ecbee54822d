package replicaset

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/correlate"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
)

// TestEndlessCopiesEndTheConnection guards against a member that sends copies of earlier answers
// without end: they were read until the statement's deadline, and the member counted as silent.
func TestEndlessCopiesEndTheConnection(t *testing.T) {
	_, s, m := newScriptedMember(t, func(int, string) string { return strings.Repeat(scriptedLogin, 1<<12) })
	res := runScripted(t, s, m, scriptedJob(JobRead, "FETCH a"))
	var rejected *AnswerRejectedError
	require.ErrorAs(t, res.Err, &rejected)
	require.False(t, m.Suspect(clock.Now()))
	require.Less(t, s.TakeRejectedAnswers()[correlate.RepeatedLogin], 100)
}

// TestEndlessRowsEndTheConnection guards against an answer that fills the host's memory.
func TestEndlessRowsEndTheConnection(t *testing.T) {
	_, s, m := newScriptedMember(t, func(int, string) string { return strings.Repeat("DATAROW "+strings.Repeat("x", 1<<10)+"\r\n", 20<<10) })
	res := runScripted(t, s, m, scriptedJob(JobRead, "FETCH a"))
	var rejected *AnswerRejectedError
	require.ErrorAs(t, res.Err, &rejected)
}
