package replicaset

import (
	"github.com/dotterelswitch/dotterelswitch/core/correlate"
	"github.com/dotterelswitch/dotterelswitch/core/statement"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
	"github.com/dotterelswitch/dotterelswitch/node/eventlog"
)

// reportRejected logs and counts an answer that is not that of the operation in progress; the
// operation is zero if there is none.
func (c *Conn) reportRejected(op statement.Operation, v correlate.Verdict) {
	m := c.member
	m.mu.Lock()
	if m.rejectedAnswers == nil {
		m.rejectedAnswers = map[correlate.Reason]int{}
	}
	m.rejectedAnswers[v.Reason]++
	m.mu.Unlock()
	suppressed, ok := m.set.logBudget.Allow(eventlog.AnswerRejected, clock.Now())
	if !ok {
		return
	}
	connection := "retired"
	if v.Attribution == correlate.Ambiguous {
		connection = "closed"
	}
	eventlog.AnswerRejected.Warn(m.log).Str("request", eventlog.Text(op.ID)).Stringer("verb", op.Verb).Str("reason", string(v.Reason)).
		Stringer("attribution", v.Attribution).Str("connection", connection).Int("left_out", suppressed).Send()
}

// TakeRejectedAnswers returns how many answers of the members were rejected since the last
// call, by reason.
func (s *Set) TakeRejectedAnswers() map[correlate.Reason]int {
	sum := map[correlate.Reason]int{}
	for _, m := range s.Members() {
		m.mu.Lock()
		for reason, n := range m.rejectedAnswers {
			sum[reason] += n
		}
		m.rejectedAnswers = nil
		m.mu.Unlock()
	}
	return sum
}
