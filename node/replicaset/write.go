package replicaset

import (
	"context"
	"fmt"

	"github.com/dotterelswitch/dotterelswitch/core/logpos"
	"github.com/dotterelswitch/dotterelswitch/core/statement"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
)

// Write runs a single write on the primary. It is tried again only after an
// answer that says that it had no effect.
func (s *Set) Write(ctx context.Context, w Work) Outcome {
	out := Outcome{Primary: true}
	var last error = &RefusedError{Reason: "no primary could be asked"}
	for out.Attempts < maxAttempts && ctx.Err() == nil && clock.Now() < w.EndBy {
		m, found := s.awaitPrimary(ctx, w.StartBy)
		if !found {
			last = &RefusedError{Reason: "no primary is known", RetryAfter: defaultRetryAfter}
			break
		}
		out.Attempts++
		out.Member = m.id
		x, err := s.writeOn(ctx, m, w, &out)
		switch {
		case err != nil && x.handed:
			out.Cause = err.Error()
			out.Answer = statement.Refuse(statement.InDoubt, "the member did not answer; the write may have been kept", statement.Idle)
			return out
		case err != nil:
			last = err
		case !retryable(x.answer.Code):
			out.Answer = x.answer
			return out
		default:
			last = &RefusedError{Reason: fmt.Sprintf("member %s answered %s", m.id, x.answer.Code)}
		}
		if clock.Now() > w.StartBy || !pause(ctx, primaryPause) {
			break
		}
	}
	return s.refuse(out, w, last)
}

func (s *Set) writeOn(ctx context.Context, m *Member, w Work, out *Outcome) (exchange, error) {
	began := clock.Now()
	c, err := m.acquire(ctx, w.waiter())
	out.Waited = clock.Now() - began
	if err != nil {
		return exchange{}, err
	}
	defer m.release(c)
	if err := c.assign(w.Values, w.EndBy); err != nil {
		return exchange{}, err
	}
	x, err := c.run(w.Statement, logpos.Position{}, w.EndBy)
	if err == nil && x.answer.Code == statement.OK {
		s.proved(m, x.answer.Position, x.sent)
	}
	s.noteDenied(c, x.answer, err)
	return x, err
}
