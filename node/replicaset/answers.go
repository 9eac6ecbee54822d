package replicaset

import (
	"errors"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/correlate"
	"github.com/dotterelswitch/dotterelswitch/core/logpos"
	"github.com/dotterelswitch/dotterelswitch/core/statement"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
	"github.com/dotterelswitch/dotterelswitch/node/eventlog"
)

// maxSkippedAnswers bounds the copies of earlier answers that are skipped for one operation. A
// transaction has fewer operations.
const maxSkippedAnswers = 64

// dropEarlyAnswers reads the answers that have been received before an operation is sent. None
// of them can be its answer.
func (c *Conn) dropEarlyAnswers(op statement.Operation) error {
	if c.reader.Buffered() == 0 {
		return nil
	}
	// Only what has been received counts, so the socket is not read.
	if err := c.netConn.SetReadDeadline(time.Unix(1, 0)); err != nil {
		return c.rejectBeforeSending(op, err)
	}
	for c.reader.Buffered() > 0 {
		a, err := c.proto.ReadAnswer(c.reader)
		if err != nil {
			return c.rejectBeforeSending(op, err)
		}
		v := c.tracker.AttributeEarly(a)
		if v.Attribution != correlate.Earlier {
			return c.rejectBeforeSending(op, nil)
		}
		c.reportRejected(op, v)
	}
	return nil
}

// rejectBeforeSending gives up the connection before an operation is sent on it.
func (c *Conn) rejectBeforeSending(op statement.Operation, err error) error {
	c.broken = true
	v := correlate.Verdict{Attribution: correlate.Ambiguous, Reason: correlate.Unrequested}
	c.reportRejected(op, v)
	return &NoResponseError{Member: c.member.id, NotSent: true, Err: &AnswerRejectedError{Reason: v.Reason, Err: err}}
}

// readOwnAnswer reads answers up to that of the operation in progress.
func (c *Conn) readOwnAnswer(op statement.Operation, sent time.Duration) (statement.Answer, error) {
	for skipped := 0; ; skipped++ {
		a, err := c.proto.ReadAnswer(c.reader)
		switch {
		case errors.Is(err, statement.ErrProtocol):
			return a, c.rejectAnswer(op, correlate.Verdict{Attribution: correlate.Ambiguous, Reason: correlate.Unreadable}, sent, err)
		case err != nil:
			return a, c.markLost(err, sent)
		}
		c.certain = c.tracker.Certain(op, a)
		v := c.tracker.Attribute(op, a)
		if v.Attribution == correlate.Earlier && skipped == maxSkippedAnswers {
			v.Attribution = correlate.Ambiguous
		}
		switch v.Attribution {
		case correlate.Earlier:
			c.reportRejected(op, v)
			continue
		case correlate.Ambiguous:
			return a, c.rejectAnswer(op, v, sent, nil)
		}
		if !c.certain {
			a.Position = logpos.Position{}
		}
		return a, nil
	}
}

// rejectAnswer gives up an operation, sent at the given time, whose answer cannot be told from
// others. A member whose answers make no sense is suspected, and judged as one that fails the
// statement; one that repeats answers works.
func (c *Conn) rejectAnswer(op statement.Operation, v correlate.Verdict, sent time.Duration, err error) error {
	c.broken = true
	c.reportRejected(op, v)
	if v.Reason == correlate.Unreadable {
		c.member.exchangeFailed(sent, failureBroken)
	} else {
		c.member.bytesReceived(c.answeredAt)
	}
	// A primary that is judged so would be replaced, although copies that are cut suffice.
	if v.Reason == correlate.Unreadable && isOutcome(op.Verb, statement.Failure) && !c.member.set.isAssumedPrimary(c.member) {
		c.member.observeOutcome(sent, clock.Now(), statement.Answer{Code: statement.Failure}, c.team)
	}
	return &NoResponseError{Member: c.member.id, Err: &AnswerRejectedError{Reason: v.Reason, Err: err}}
}

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
