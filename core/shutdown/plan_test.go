package shutdown_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/shutdown"
	"github.com/dotterelswitch/dotterelswitch/core/statement"
)

const start, grace = 100 * time.Second, 6 * time.Second

// TestEachSessionAtEachMoment guards against sessions that a stop overlooks: a transaction
// that begins late, has no statement yet, or was at work when others were ended.
func TestEachSessionAtEachMoment(t *testing.T) {
	p := shutdown.Plan{Start: start, Grace: grace}
	const k, a, c = shutdown.Keep, shutdown.Abort, shutdown.Close
	for _, moment := range []struct {
		after time.Duration
		phase shutdown.Phase
		// idle, failed, resting and active are the actions for a session outside a
		// transaction, in a failed one, in one since long, and in one since just now.
		idle, failed, resting, active shutdown.Action
		// single and begin tell whether these are admitted.
		single, begin bool
	}{
		{0, shutdown.Notice, k, k, k, k, true, true},
		{2300 * time.Millisecond, shutdown.Notice, k, k, k, k, true, true},
		{2400 * time.Millisecond, shutdown.Draining, c, k, k, k, true, true},
		{3200 * time.Millisecond, shutdown.Draining, c, k, k, k, true, true},
		{3400 * time.Millisecond, shutdown.Finishing, c, k, a, k, true, false},
		{4700 * time.Millisecond, shutdown.Finishing, c, k, a, k, true, false},
		{4800 * time.Millisecond, shutdown.Refusing, c, k, a, a, false, false},
		{5600 * time.Millisecond, shutdown.Refusing, c, k, a, a, false, false},
		{5700 * time.Millisecond, shutdown.Closing, c, c, c, c, false, false},
		{time.Hour, shutdown.Closing, c, c, c, c, false, false},
	} {
		now := start + moment.after
		require.Equal(t, moment.phase, p.PhaseAt(now), moment.after)
		require.Equal(t, moment.idle, p.BetweenStatements(statement.Idle, 0, now), moment.after)
		require.Equal(t, moment.failed, p.BetweenStatements(statement.TransactionFailed, 0, now), moment.after)
		require.Equal(t, moment.resting, p.BetweenStatements(statement.InTransaction, 0, now), moment.after)
		require.Equal(t, moment.active, p.BetweenStatements(statement.InTransaction, now, now), moment.after)
		require.Equal(t, moment.single, p.Admits(false, now), moment.after)
		require.Equal(t, moment.begin, p.Admits(true, now), moment.after)
	}
}

// TestStatementsAreAnsweredBeforeTheEnd guards against a session that is closed while a
// member has its statement: whatever is admitted has time to be answered.
func TestStatementsAreAnsweredBeforeTheEnd(t *testing.T) {
	for _, grace := range []time.Duration{2 * time.Second, 6 * time.Second, 30 * time.Second} {
		p := shutdown.Plan{Start: start, Grace: grace}
		for now := start; now < start+grace; now += grace / 200 {
			if p.Admits(false, now) {
				require.Less(t, now+grace/10, p.AnswerDeadline())
			}
		}
		require.Less(t, p.AnswerDeadline(), p.StartOf(shutdown.Closing))
		require.Less(t, p.StartOf(shutdown.Closing), p.End())
		require.Less(t, p.End(), start+grace)
	}
}
