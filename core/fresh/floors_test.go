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
