package promoter

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/node/replicaset"
)

// lossyPlatform loses the answers to the first calls.
type lossyPlatform struct {
	lose, calls int
	refuse      error
}

func (l *lossyPlatform) Promote(ctx context.Context, _, _ string, _ uint64) error {
	l.calls++
	if l.refuse != nil {
		return l.refuse
	}
	if l.calls <= l.lose {
		<-ctx.Done()
		return ctx.Err()
	}
	return nil
}

func newForCalls(c Caller) *Promoter {
	return New(Config{Service: "svc", Set: replicaset.New(replicaset.Config{Service: "svc"}), Caller: c})
}

// TestLostAnswersOfThePlatformCostLittle replays a failover in which the
// platform loses two answers in a row. A call that waits for as long as a slow
// platform may take would leave the group without a primary twice as long.
func TestLostAnswersOfThePlatformCostLittle(t *testing.T) {
	platform := &lossyPlatform{lose: 2}
	require.NoError(t, newForCalls(platform).call(context.Background(), "m", 7))
	require.Equal(t, 3, platform.calls)
	require.Equal(t, 450*time.Millisecond, callTime(0)+callTime(1))
	require.Equal(t, lastCallTime, callTime(callTries-1), "a slow platform has its time")
}

type fenced struct{ error }

func (fenced) Refused() bool { return true }

func TestFencedCallIsNotRepeated(t *testing.T) {
	platform := &lossyPlatform{refuse: fenced{errors.New("an older token")}}
	require.Error(t, newForCalls(platform).call(context.Background(), "m", 7))
	require.Equal(t, 1, platform.calls)
}

func TestUnavailablePlatformIsCalledAFewTimes(t *testing.T) {
	platform := &lossyPlatform{refuse: errors.New("unavailable")}
	require.Error(t, newForCalls(platform).call(context.Background(), "m", 7))
	require.Equal(t, callTries, platform.calls)
}
