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

func TestNoSamplesGiveNoFloor(t *testing.T) {
	var f fresh.Floors
	_, found := f.Lookup(0, logpos.Position{})
	require.False(t, found)
}

// TestPromotionDropsOldFloors: positions of the old term may have been rolled
// back, and a read that required them would never be served.
func TestPromotionDropsOldFloors(t *testing.T) {
	var f fresh.Floors
	f.Observe(pos(3, 100), 10*second)
	f.Observe(pos(4, 90), 11*second)
	p, found := f.Lookup(0, pos(3, 100))
	require.True(t, found)
	require.Equal(t, pos(4, 90), p)
	f.Observe(pos(3, 120), 12*second)
	require.Equal(t, logpos.Term(4), f.Term(), "a delayed answer of the old primary is ignored")
}

func TestSessionOfUnknownTermHasNoFloor(t *testing.T) {
	var f fresh.Floors
	f.Observe(pos(3, 100), 10*second)
	_, found := f.Lookup(0, pos(4, 1))
	require.False(t, found)
}

func TestFloorIncludesSessionCommit(t *testing.T) {
	var f fresh.Floors
	f.Observe(pos(3, 100), 10*second)
	p, found := f.Lookup(0, pos(3, 140))
	require.True(t, found)
	require.Equal(t, pos(3, 140), p)
}

// TestFloorCoversCommitsBeforeBound: every commit acknowledged before the bound
// is at or below the floor, in whatever order answers arrive.
func TestFloorCoversCommitsBeforeBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var f fresh.Floors
		// The entry at offset i was acknowledged at ackedAt[i].
		ackedAt := []time.Duration{0}
		now := time.Duration(0)
		type answer struct {
			p    logpos.Position
			sent time.Duration
		}
		var delayed []answer
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(1, 400).Draw(t, "pause")) * time.Millisecond
			if rapid.Bool().Draw(t, "commit") {
				ackedAt = append(ackedAt, now)
				continue
			}
			a := answer{pos(1, len(ackedAt)-1), now}
			if rapid.Bool().Draw(t, "arrives late") {
				delayed = append(delayed, a)
				continue
			}
			f.Observe(a.p, a.sent)
		}
		for _, a := range rapid.Permutation(delayed).Draw(t, "order") {
			f.Observe(a.p, a.sent)
		}
		notBefore := time.Duration(rapid.IntRange(0, int(now)).Draw(t, "bound"))
		p, found := f.Lookup(notBefore, logpos.Position{})
		if !found {
			return
		}
		for offset, at := range ackedAt {
			if at < notBefore && logpos.Offset(offset) > p.Offset {
				t.Fatalf("offset %d, acknowledged at %s, is above the floor %s for %s", offset, at, p, notBefore)
			}
		}
	})
}

// TestLagIsTheTimeBetweenPositions: the lag of a replica is the time between
// the samples at which the primary's log passed the two positions.
func TestLagIsTheTimeBetweenPositions(t *testing.T) {
	var f fresh.Floors
	_, known := f.Lag(pos(3, 1), pos(3, 2))
	require.False(t, known, "no samples")
	for i := range 5 {
		f.Observe(pos(3, 100+10*i), 10*second+time.Duration(i)*second)
	}
	for _, c := range []struct {
		from, to int
		want     time.Duration
	}{
		{from: 140, to: 140, want: 0},
		{from: 141, to: 120, want: 0},
		{from: 110, to: 130, want: 2 * second},
		{from: 115, to: 125, want: 2 * second},
		{from: 50, to: 120, want: 2 * second},
		{from: 130, to: 999, want: second},
	} {
		d, known := f.Lag(pos(3, c.from), pos(3, c.to))
		require.True(t, known)
		require.Equal(t, c.want, d, "%d to %d", c.from, c.to)
	}
	_, known = f.Lag(pos(2, 500), pos(3, 120))
	require.False(t, known, "the lag of a log of an older term is unknown")
}

// TestNewPrimaryWithoutWritesSetsFloor: the position of a new primary has the
// older term until it writes, and may be lower than that of its predecessor.
func TestNewPrimaryWithoutWritesSetsFloor(t *testing.T) {
	var f fresh.Floors
	f.Observe(pos(1, 39), 10*second)
	f.ObserveInTerm(2, pos(1, 38), 11*second)
	p, found := f.Lookup(0, pos(1, 39))
	require.True(t, found)
	require.Equal(t, pos(1, 38), p, "a read must not require rolled back entries")
	f.Observe(pos(1, 39), 12*second)
	p, _ = f.Lookup(0, logpos.Position{})
	require.Equal(t, pos(1, 38), p, "a delayed answer of the old primary is ignored")
	f.ObserveInTerm(2, pos(2, 39), 13*second)
	p, _ = f.Lookup(12*second, pos(2, 40))
	require.Equal(t, pos(2, 40), p)
}
