package promoter

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/succession"
)

// answerAfter sends a replica's answer after a time.
func answerAfter(ch chan<- answer, d time.Duration, id string, failed bool) {
	go func() {
		time.Sleep(d)
		ch <- answer{report: succession.Report{ID: id}, failed: failed}
	}()
}

// TestSurveyDoesNotWaitForASilentReplica replays a failover in which the second
// replica cannot be reached for as long as an order may take.
func TestSurveyDoesNotWaitForASilentReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ch := make(chan answer, 2)
		answerAfter(ch, 40*time.Millisecond, "near", false)
		answerAfter(ch, 700*time.Millisecond, "silent", true)
		began := time.Now()
		reports := gather(ch, 2, true)
		require.Len(t, reports, 1)
		require.Equal(t, 40*time.Millisecond+surveyPatience, time.Since(began))
		// The late answer finds room although nobody reads it.
		time.Sleep(time.Second)
	})
}

func TestSurveyWaitsForASlowReplicaThatMayHoldMore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ch := make(chan answer, 2)
		answerAfter(ch, 40*time.Millisecond, "near", false)
		answerAfter(ch, 200*time.Millisecond, "slow", false)
		require.Len(t, gather(ch, 2, true), 2)
	})
}

// TestSurveyWaitsForAllWhereAcknowledgedCommitsDependOnIt: with replicas that
// confirm commits, the silent one may hold what the other lacks.
func TestSurveyWaitsForAllWhereAcknowledgedCommitsDependOnIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ch := make(chan answer, 2)
		answerAfter(ch, 40*time.Millisecond, "near", false)
		answerAfter(ch, 650*time.Millisecond, "slow", false)
		require.Len(t, gather(ch, 2, false), 2)
	})
}

func TestSurveyOfNobodyEnds(t *testing.T) {
	require.Empty(t, gather(nil, 0, true))
}
