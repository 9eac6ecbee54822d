package returns_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dotterelswitch/dotterelswitch/core/fixedseed"
	"github.com/dotterelswitch/dotterelswitch/core/returns"
)

func TestMain(m *testing.M) { fixedseed.Main(m) }

func drawRefusal(t *rapid.T, now time.Duration) returns.Refusal {
	return returns.Refusal{
		Priority:  rapid.IntRange(-1, 9).Draw(t, "priority"),
		Return:    returns.Return{Refusals: rapid.IntRange(0, 2).Draw(t, "refusals")},
		Identity:  returns.Identity(rapid.Uint64Range(0, 50).Draw(t, "identity")),
		NotBefore: now + time.Duration(rapid.IntRange(-1000, 4900).Draw(t, "not before"))*ms,
		Latest:    now + time.Duration(rapid.IntRange(-1000, 8000).Draw(t, "latest"))*ms,
		Weight:    rapid.SampledFrom([]float64{0, 1, 0.5, 1.0 / 3}).Draw(t, "weight"),
	}
}

// TestMomentsAreAheadAndBounded checks that a retry time is positive, at most MaxDelay,
// and never lets a caller return before it can be served, and that the statements that are
// expected back are bounded and forgotten.
func TestMomentsAreAheadAndBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, now := returns.New("gate"), time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "start"))
		for range rapid.IntRange(1, 200).Draw(t, "refusals") {
			now += time.Duration(rapid.IntRange(0, 50_000).Draw(t, "pause")) * time.Microsecond
			r := drawRefusal(t, now)
			rate := rapid.SampledFrom([]float64{0, -1, 0.1, 20, 333, 1e12}).Draw(t, "rate")
			delay := s.Allocate(r, rate, now)
			require.Positive(t, delay)
			require.LessOrEqual(t, delay, returns.MaxDelay)
			require.Zero(t, delay%returns.MinDelay)
			require.GreaterOrEqual(t, now+delay, r.NotBefore)
		}
		require.LessOrEqual(t, s.Expected(), returns.MaxExpected)
		s.Arrive(now+returns.MaxDelay+2*returns.RecognitionWindow, "", "")
		require.Zero(t, s.Expected())
	})
}

// TestRateIsNotExceeded checks that in any 100 ms at most one and a half times what the
// member runs is told to return, whatever the classes and deadlines of the refused.
func TestRateIsNotExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, now := returns.New("gate"), time.Second
		rate := rapid.Float64Range(2, 1000).Draw(t, "rate")
		var told []time.Duration
		for range rapid.IntRange(1, 400).Draw(t, "refusals") {
			now += time.Duration(rapid.IntRange(0, 10_000).Draw(t, "pause")) * time.Microsecond
			r := drawRefusal(t, now)
			r.Weight = 0
			if moment := now + s.Allocate(r, rate, now); moment <= r.Latest && r.Latest < now+returns.MaxDelay-100*ms {
				told = append(told, moment)
			}
		}
		// Moments of up to two further intervals fall into a period, and places are whole.
		require.LessOrEqual(t, float64(mostWithin(told, 100*ms)), 1.5*rate*0.15+2)
	})
}

// TestExpectedAreBounded guards against memory that grows with the refusals of a crowd.
func TestExpectedAreBounded(t *testing.T) {
	s := returns.New("gate")
	for i := range 3 * returns.MaxExpected {
		s.Allocate(returns.Refusal{Identity: returns.IdentityOf("", fmt.Sprint(i)), Latest: time.Hour}, 333, 0)
	}
	require.Equal(t, returns.MaxExpected, s.Expected())
}

// fill refuses a crowd of a class at once.
func fill(s *returns.Schedule, count, priority int, now time.Duration) {
	for range count {
		s.Allocate(returns.Refusal{Priority: priority, Latest: now + 4*time.Second}, 333, now)
	}
}

// TestImportantAndReturnedComeEarlier guards against a schedule in which those refused
// first keep all others behind them.
func TestImportantAndReturnedComeEarlier(t *testing.T) {
	const now = time.Second
	delayOf := func(r returns.Refusal) time.Duration {
		s := returns.New("gate")
		fill(s, 400, 2, now)
		r.Latest = now + 4*time.Second
		return s.Allocate(r, 333, now)
	}
	returned := returns.Return{Refusals: 1}
	least, leastReturned := delayOf(returns.Refusal{Priority: 2}), delayOf(returns.Refusal{Priority: 2, Return: returned})
	middle, most := delayOf(returns.Refusal{Priority: 1}), delayOf(returns.Refusal{Priority: 0})
	require.Greater(t, least, time.Second)
	require.Less(t, leastReturned, least)
	require.Less(t, middle, least)
	require.LessOrEqual(t, most, middle)
	require.Less(t, most, 100*ms)
}

// TestLateMomentsTakeNoPlaces guards against callers that give up before their moments and
// keep others away.
func TestLateMomentsTakeNoPlaces(t *testing.T) {
	s := returns.New("gate")
	for range 2000 {
		s.Allocate(returns.Refusal{Latest: 300 * ms}, 333, 0)
	}
	require.Less(t, s.Allocate(returns.Refusal{Latest: 2 * time.Second}, 333, 0), 400*ms)
}

// TestUsualLoadKeepsItsPart checks that returns get what the usual load leaves, and that a
// crowd does not count as usual.
func TestUsualLoadKeepsItsPart(t *testing.T) {
	told := func(arrivals func(s *returns.Schedule)) int {
		s, now := returns.New("gate"), 10*time.Second
		arrivals(s)
		within := 0
		for range 1000 {
			if s.Allocate(returns.Refusal{Latest: now + 2*time.Second}, 333, now) <= time.Second {
				within++
			}
		}
		return within
	}
	every := func(pause, from, until time.Duration) func(s *returns.Schedule) {
		return func(s *returns.Schedule) {
			for at := from; at < until; at += pause {
				s.Arrive(at, "", "")
			}
		}
	}
	all := told(func(*returns.Schedule) {})
	require.InDelta(t, 325, all, 15)
	require.InDelta(t, 125, told(every(5*ms, 0, 10*time.Second)), 15)
	require.Equal(t, all, told(every(500*time.Microsecond, 9500*ms, 10*time.Second)))
}

// TestReturnIsRecognized checks that a statement is recognized by team and text, only within
// the window after its moment, once, and with the deadlines of its first run.
func TestReturnIsRecognized(t *testing.T) {
	refuse := func() (*returns.Schedule, time.Duration) {
		s := returns.New("gate")
		r := returns.Refusal{Identity: returns.IdentityOf("team", "text"), TargetDeadline: 250 * ms, Latest: 2 * time.Second}
		return s, s.Allocate(r, 333, 0)
	}
	for _, c := range []struct {
		name, team, text string
		after            time.Duration
		found            bool
	}{
		{"at its moment", "team", "text", 0, true},
		{"at the end of the window", "team", "text", returns.RecognitionWindow, true},
		{"too early", "team", "text", -ms, false},
		{"too late", "team", "text", returns.RecognitionWindow + ms, false},
		{"other team", "team2", "text", 0, false},
		{"other text", "team", "text2", 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, moment := refuse()
			got, found := s.Arrive(moment+c.after, c.team, c.text)
			require.Equal(t, c.found, found)
			if !found {
				return
			}
			require.Equal(t, returns.Return{Refusals: 1, TargetDeadline: 250 * ms, Latest: 2 * time.Second}, got)
			_, again := s.Arrive(moment+c.after, c.team, c.text)
			require.False(t, again)
		})
	}
}

// TestVaryingRateIsNotExceeded guards against moments that add up because each change of a
// low rate moves the places: 40 per second were told at rates of 9 to 11.
func TestVaryingRateIsNotExceeded(t *testing.T) {
	s, now := returns.New("gate"), time.Second
	var told []time.Duration
	for i := range 400 {
		now += 5 * ms
		rate := 9 + float64(i%21)/10
		told = append(told, now+s.Allocate(returns.Refusal{Latest: now + 4*time.Second}, rate, now))
	}
	within := 0
	for _, moment := range told {
		if moment >= 2*time.Second && moment < 4*time.Second {
			within++
		}
	}
	t.Logf("%d told in 2 s", within)
	require.LessOrEqual(t, within, 30)
}

// TestRecognitionEndsWithTheCallersReturns guards against deadlines that pass from caller to
// caller of a frequent text: each took those of the first one, and so precedence over others,
// as long as statements were refused.
func TestRecognitionEndsWithTheCallersReturns(t *testing.T) {
	s, now := returns.New("gate"), time.Duration(0)
	returned, found := returns.Return{}, false
	for run := range 4 {
		require.Equal(t, run == 1 || run == 2, found, "run %d", run)
		now += s.Allocate(returns.Refusal{
			Return: returned, Identity: returns.IdentityOf("team", "text"), Latest: now + 4*time.Second,
		}, 333, now)
		returned, found = s.Arrive(now, "team", "text")
	}
}
