package fresh_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dotterelswitch/dotterelswitch/core/fixedseed"
	"github.com/dotterelswitch/dotterelswitch/core/fresh"
	"github.com/dotterelswitch/dotterelswitch/core/logpos"
)

func TestMain(m *testing.M) { fixedseed.Main(m) }

func pos(term, offset int) logpos.Position {
	return logpos.Position{Term: logpos.Term(term), Offset: logpos.Offset(offset)}
}

const second = time.Second

func TestNothingKnownGivesNoFloor(t *testing.T) {
	var f fresh.Floors
	_, found := f.Lookup(0, logpos.Position{})
	require.False(t, found)
}

// TestPromotionDropsOldFloors: positions of the old term may have been rolled
// back; a reader that asked for them would wait for ever.
func TestPromotionDropsOldFloors(t *testing.T) {
	var f fresh.Floors
	f.Observe(pos(3, 100), 10*second)
	f.Observe(pos(4, 90), 11*second)
	p, found := f.Lookup(0, pos(3, 100))
	require.True(t, found)
	require.Equal(t, pos(4, 90), p)
	f.Observe(pos(3, 120), 12*second)
	require.Equal(t, logpos.Term(4), f.Term(), "a late answer of the old primary changes nothing")
}

func TestSessionAheadOfWhatIsKnownGoesToThePrimary(t *testing.T) {
	var f fresh.Floors
	f.Observe(pos(3, 100), 10*second)
	_, found := f.Lookup(0, pos(4, 1))
	require.False(t, found)
}

func TestSessionSeesItsOwnCommit(t *testing.T) {
	var f fresh.Floors
	f.Observe(pos(3, 100), 10*second)
	p, found := f.Lookup(0, pos(3, 140))
	require.True(t, found)
	require.Equal(t, pos(3, 140), p)
}

// TestFloorCoversEveryOldCommit is the promise of a bounded read: whatever was
// acknowledged before the bound is at or below the floor, in whatever order
// answers arrive.
func TestFloorCoversEveryOldCommit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var f fresh.Floors
		// The true log: offset i was acknowledged at time acked[i].
		acked := []time.Duration{0}
		now := time.Duration(0)
		type answer struct {
			p    logpos.Position
			sent time.Duration
		}
		var late []answer
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(1, 400).Draw(t, "pause")) * time.Millisecond
			if rapid.Bool().Draw(t, "commit") {
				acked = append(acked, now)
				continue
			}
			a := answer{pos(1, len(acked)-1), now}
			if rapid.Bool().Draw(t, "arrives late") {
				late = append(late, a)
				continue
			}
			f.Observe(a.p, a.sent)
		}
		for _, a := range rapid.Permutation(late).Draw(t, "order") {
			f.Observe(a.p, a.sent)
		}
		notBefore := time.Duration(rapid.IntRange(0, int(now)).Draw(t, "bound"))
		p, found := f.Lookup(notBefore, logpos.Position{})
		if !found {
			return
		}
		for offset, at := range acked {
			if at < notBefore && logpos.Offset(offset) > p.Offset {
				t.Fatalf("offset %d, acknowledged at %s, is above the floor %s for %s", offset, at, p, notBefore)
			}
		}
	})
}

// TestDistanceIsTheTimeBetweenTwoPositions: how far a replica is behind a floor
// is told by when the primary's log passed both.
func TestDistanceIsTheTimeBetweenTwoPositions(t *testing.T) {
	var f fresh.Floors
	_, known := f.Distance(pos(3, 1), pos(3, 2))
	require.False(t, known, "nothing is known without samples")
	for i := range 5 {
		f.Observe(pos(3, 100+10*i), 10*second+time.Duration(i)*second)
	}
	for _, c := range []struct {
		held, floor int
		want        time.Duration
	}{
		{held: 140, floor: 140, want: 0},
		{held: 141, floor: 120, want: 0},
		{held: 110, floor: 130, want: 2 * second},
		{held: 115, floor: 125, want: 2 * second},
		{held: 50, floor: 120, want: 2 * second},
		{held: 130, floor: 999, want: second},
	} {
		d, known := f.Distance(pos(3, c.held), pos(3, c.floor))
		require.True(t, known)
		require.Equal(t, c.want, d, "%d to %d", c.held, c.floor)
	}
	_, known = f.Distance(pos(2, 500), pos(3, 120))
	require.False(t, known, "a log of an older term may lack anything")
}

// TestNewPrimaryThatHasNotWrittenBoundsReads: its position is one of the older
// term, and lower than what the earlier primary had reached.
func TestNewPrimaryThatHasNotWrittenBoundsReads(t *testing.T) {
	var f fresh.Floors
	f.Observe(pos(1, 39), 10*second)
	f.ObserveIn(2, pos(1, 38), 11*second)
	p, found := f.Lookup(0, pos(1, 39))
	require.True(t, found)
	require.Equal(t, pos(1, 38), p, "what was rolled back is asked of nobody")
	f.Observe(pos(1, 39), 12*second)
	p, _ = f.Lookup(0, logpos.Position{})
	require.Equal(t, pos(1, 38), p, "a late answer of the old primary changes nothing")
	f.ObserveIn(2, pos(2, 39), 13*second)
	p, _ = f.Lookup(12*second, pos(2, 40))
	require.Equal(t, pos(2, 40), p)
}
