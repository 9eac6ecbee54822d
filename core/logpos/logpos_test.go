package logpos_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dotterelswitch/dotterelswitch/core/fixedseed"
	"github.com/dotterelswitch/dotterelswitch/core/logpos"
)

func TestMain(m *testing.M) { fixedseed.Main(m) }

func drawHistory(t *rapid.T) logpos.History {
	var h logpos.History
	term, start := logpos.Term(0), logpos.Offset(0)
	for range rapid.IntRange(0, 6).Draw(t, "forks") {
		term += logpos.Term(rapid.IntRange(1, 3).Draw(t, "term"))
		h = append(h, logpos.Fork{Term: term, Start: start})
		start += logpos.Offset(rapid.IntRange(1, 9).Draw(t, "entries"))
	}
	return h
}

func drawPosition(t *rapid.T) logpos.Position {
	return logpos.Position{
		Term:   logpos.Term(rapid.IntRange(0, 20).Draw(t, "term")),
		Offset: logpos.Offset(rapid.IntRange(0, 60).Draw(t, "offset")),
	}
}

func TestTextRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h, p := drawHistory(t), drawPosition(t)
		parsedHistory, err := logpos.ParseHistory(h.String())
		require.NoError(t, err)
		require.Equal(t, h, parsedHistory)
		parsedPosition, err := logpos.Parse(p.String())
		require.NoError(t, err)
		require.Equal(t, p, parsedPosition)
	})
}

func TestMalformedText(t *testing.T) {
	for _, text := range []string{"", "1", "1/", "/1", "a/b", "-1/2", "1/2/3", "1/99999999999999999999"} {
		_, err := logpos.Parse(text)
		var pe *logpos.ParseError
		require.ErrorAs(t, err, &pe, text)
	}
	_, err := logpos.ParseHistory("2/0,1/5")
	require.Error(t, err, "terms must ascend")
}

// TestClamp checks that a clamped position is never past the next fork and that
// positions on the branch are unchanged.
func TestClamp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h, p := drawHistory(t), drawPosition(t)
		offset, crossed := h.Clamp(p)
		require.LessOrEqual(t, offset, p.Offset)
		if next, found := h.ForkAfter(p.Term); found {
			require.LessOrEqual(t, offset, next.Start)
		}
		if h.Contains(p) {
			require.Equal(t, p.Offset, offset)
			require.False(t, crossed)
		}
	})
}
