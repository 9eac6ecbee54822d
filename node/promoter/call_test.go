package promoter

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/node/replicaset"
)

// lossyPlatform drops the answers to the first calls.
type lossyPlatform struct {
	lostAnswers, calls int
	err                error
}

func (l *lossyPlatform) Promote(ctx context.Context, _, _ string, _ uint64) error {
	l.calls++
	if l.err != nil {
		return l.err
	}
	if l.calls <= l.lostAnswers {
		<-ctx.Done()
		return ctx.Err()
	}
	return nil
}

func newTestPromoter(c Platform) *Promoter {
	return New(Config{Service: "svc", Set: replicaset.New(replicaset.Config{Service: "svc"}), Platform: c})
}

// Guards against a call timeout sized for a slow platform, which would prolong a
// failover when the platform's answers are lost.
func TestLostPlatformAnswersAreRetriedEarly(t *testing.T) {
	platform := &lossyPlatform{lostAnswers: 2}
	require.NoError(t, newTestPromoter(platform).callPromote(context.Background(), "m", 7))
	require.Equal(t, 3, platform.calls)
	require.Equal(t, 450*time.Millisecond, callTimeout(0)+callTimeout(1))
	require.Equal(t, maxCallTimeout, callTimeout(maxPromoteCalls-1), "later calls allow for a slow platform")
}

type fencedError struct{ error }

func (fencedError) Refused() bool { return true }

func TestFencedCallIsNotRetried(t *testing.T) {
	platform := &lossyPlatform{err: fencedError{errors.New("an older token")}}
	require.Error(t, newTestPromoter(platform).callPromote(context.Background(), "m", 7))
	require.Equal(t, 1, platform.calls)
}

func TestCallsToUnavailablePlatformAreBounded(t *testing.T) {
	platform := &lossyPlatform{err: errors.New("unavailable")}
	require.Error(t, newTestPromoter(platform).callPromote(context.Background(), "m", 7))
	require.Equal(t, maxPromoteCalls, platform.calls)
}
