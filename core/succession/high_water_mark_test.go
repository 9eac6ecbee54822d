package succession_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/logpos"
	"github.com/dotterelswitch/dotterelswitch/core/succession"
)

func position(term, offset int) logpos.Position {
	return logpos.Position{Term: logpos.Term(term), Offset: logpos.Offset(offset)}
}

// TestShorterLogOfSamePrimaryIsRegression covers a primary that restarts
// without its log, and reordered answers.
func TestShorterLogOfSamePrimaryIsRegression(t *testing.T) {
	var h succession.HighWaterMark
	require.False(t, h.Regressed("a", 1, position(1, 0), time.Second), "no mark yet")
	h.Observe("a", 3, position(3, 1207), 10*time.Second)
	require.True(t, h.Regressed("a", 3, position(3, 2), 11*time.Second))
	require.True(t, h.Regressed("a", 3, position(2, 900), 11*time.Second), "only entries of older terms are left")
	require.False(t, h.Regressed("a", 3, position(3, 1200), 9*time.Second), "the answer is older than the mark")
	require.False(t, h.Regressed("a", 3, position(3, 1207), 11*time.Second))
	h.Observe("a", 3, position(3, 1000), 12*time.Second)
	require.True(t, h.Regressed("a", 3, position(3, 1100), 13*time.Second), "a lower position does not lower the mark")
}

// TestPromotionMayTruncateLog: the new primary may have received less than the
// old one, and its position is of the older term until it writes.
func TestPromotionMayTruncateLog(t *testing.T) {
	var h succession.HighWaterMark
	h.Observe("a", 3, position(3, 1207), 10*time.Second)
	require.False(t, h.Regressed("b", 3, position(3, 1200), 11*time.Second))
	require.False(t, h.Regressed("b", 4, position(3, 1200), 11*time.Second))
	h.Observe("b", 4, position(3, 1200), 11*time.Second)
	require.False(t, h.Regressed("b", 4, position(4, 1201), 12*time.Second))
	require.False(t, h.Regressed("a", 5, position(3, 1200), 12*time.Second), "a new term may start from a shorter log")
	h.Observe("a", 3, position(3, 1300), 13*time.Second)
	require.True(t, h.Regressed("b", 4, position(3, 1100), 14*time.Second), "a delayed observation of an older term is ignored")
}

// TestLogLossIsRememberedForTheTerm guards against a primary without its log that is
// believed again once new writes have moved its position past the mark.
func TestLogLossIsRememberedForTheTerm(t *testing.T) {
	var h succession.HighWaterMark
	h.Observe("a", 3, position(3, 20), 10*time.Second)
	require.False(t, h.LogLost("a"))
	require.True(t, h.ObserveLoss("a", 3, position(3, 1), 11*time.Second))
	require.True(t, h.LogLost("a"))
	require.True(t, h.ObserveLoss("a", 3, position(3, 25), 12*time.Second))
	require.False(t, h.ObserveLoss("b", 3, position(3, 1), 12*time.Second))
	require.False(t, h.ObserveLoss("a", 4, position(3, 1), 12*time.Second), "it was promoted again")
	h.Observe("a", 4, position(4, 1), 13*time.Second)
	require.False(t, h.LogLost("a"))
}
