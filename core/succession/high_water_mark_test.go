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

// TestMarkOfOlderTermBoundsNewPrimary guards against a primary without its log that is
// believed because its position names a newer term than the mark.
func TestMarkOfOlderTermBoundsNewPrimary(t *testing.T) {
	var h succession.HighWaterMark
	h.Vouch(succession.LogMark{Member: "b", Term: 2, Position: position(1, 20)}, 10*time.Second)
	require.True(t, h.Regressed("b", 2, position(2, 0), 11*time.Second))
	require.False(t, h.Regressed("b", 2, position(2, 21), 11*time.Second))
	h.Observe("b", 2, position(2, 0), 12*time.Second)
	require.True(t, h.Regressed("b", 2, position(2, 1), 13*time.Second), "the mark is never lowered")
}

// TestOwnAnswersDoNotVouchForLog: a primary that has lost its log is not believed because
// it repeats itself.
func TestOwnAnswersDoNotVouchForLog(t *testing.T) {
	var h succession.HighWaterMark
	now := 10 * time.Second
	require.Equal(t, succession.LogUnknown, h.Standing("a", now))
	h.Observe("a", 1, position(1, 0), now)
	require.Equal(t, succession.LogUnknown, h.Standing("a", now))
	require.Zero(t, h.Mark(), "other hosts must not rely on it")
	h.Trust("a", now+time.Second)
	require.Equal(t, succession.LogTrusted, h.Standing("a", now))
	require.Zero(t, h.Mark())
	require.Equal(t, succession.LogTrustEnded, h.Standing("a", now+time.Second))
	h.ObserveMark(succession.LogMark{Member: "a", Term: 1, Position: position(1, 20)}, now)
	require.Equal(t, succession.LogVouched, h.Standing("a", now))
	require.True(t, h.ObserveLoss("a", 1, position(1, 0), now+1))
	h.Observe("b", 2, position(1, 20), now)
	require.Equal(t, succession.LogUnknown, h.Standing("b", now), "another leadership")
}

// TestRestartedPrimaryIsVouchedForByReplicas guards against the stale mark of a host that
// has not noticed a restart.
func TestRestartedPrimaryIsVouchedForByReplicas(t *testing.T) {
	var h, other succession.HighWaterMark
	mark := succession.LogMark{Member: "a", Term: 1, Position: position(1, 7)}
	h.Vouch(mark, time.Second)
	h.ObserveRestart("a")
	require.True(t, h.Restarted("a"))
	h.ObserveMark(mark, 2*time.Second)
	require.Equal(t, succession.LogUnknown, h.Standing("a", 2*time.Second))
	other.ObserveMark(h.Mark(), 2*time.Second)
	require.Equal(t, succession.LogUnknown, other.Standing("a", 2*time.Second), "the mark of a restarted member vouches for nothing elsewhere")
	require.True(t, other.Regressed("a", 1, position(1, 0), 3*time.Second), "but is a lower bound")
	h.Vouch(mark, 3*time.Second)
	require.Equal(t, succession.LogVouched, h.Standing("a", 3*time.Second))
}

// TestReportedLossIsCheckedByEachHost: another host's word alone does not depose a primary.
func TestReportedLossIsCheckedByEachHost(t *testing.T) {
	var h succession.HighWaterMark
	h.ObserveMark(succession.LogMark{Member: "a", Term: 1, Position: position(1, 20), Lost: true}, time.Second)
	require.True(t, h.LossReported("a"))
	require.False(t, h.LogLost("a"))
	require.False(t, h.ObserveLoss("a", 1, position(1, 20), 2*time.Second))
	require.False(t, h.LossReported("a"), "it has its log")
}
