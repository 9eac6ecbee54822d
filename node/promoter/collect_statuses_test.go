package promoter

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/succession"
	"github.com/dotterelswitch/dotterelswitch/standin/simtime"
)

// answerAfter sends a replica's result after a delay.
func answerAfter(results chan<- controlResult, d time.Duration, id string, failed bool) {
	go func() {
		time.Sleep(d)
		results <- controlResult{status: succession.CandidateStatus{ID: id}, failed: failed}
	}()
}

// Guards against a failover that waits for the full operation timeout of an
// unreachable replica.
func TestSurveyDoesNotWaitForUnreachableReplica(t *testing.T) {
	simtime.Test(t, func(t *testing.T) {
		results := make(chan controlResult, 2)
		answerAfter(results, 40*time.Millisecond, "near", false)
		answerAfter(results, 700*time.Millisecond, "silent", true)
		started := time.Now()
		statuses := collectStatuses(results, 2, true)
		require.Len(t, statuses, 1)
		require.Equal(t, 40*time.Millisecond+surveyGracePeriod, time.Since(started))
		// The late answer must not block its sender.
		time.Sleep(time.Second)
	})
}

func TestSurveyWaitsForSlowReplicaWithinGracePeriod(t *testing.T) {
	simtime.Test(t, func(t *testing.T) {
		results := make(chan controlResult, 2)
		answerAfter(results, 40*time.Millisecond, "near", false)
		answerAfter(results, 200*time.Millisecond, "slow", false)
		require.Len(t, collectStatuses(results, 2, true), 2)
	})
}

// Guards against promoting a replica that lacks acknowledged commits: with
// synchronous replicas, only the slow one may have them.
func TestSurveyWaitsForAllWithSynchronousReplicas(t *testing.T) {
	simtime.Test(t, func(t *testing.T) {
		results := make(chan controlResult, 2)
		answerAfter(results, 40*time.Millisecond, "near", false)
		answerAfter(results, 650*time.Millisecond, "slow", false)
		require.Len(t, collectStatuses(results, 2, false), 2)
	})
}

func TestSurveyWithoutReplicasReturns(t *testing.T) {
	require.Empty(t, collectStatuses(nil, 0, true))
}
