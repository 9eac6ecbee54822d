package gateway

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/dotterelswitch/dotterelswitch/core/classify"
	"github.com/dotterelswitch/dotterelswitch/core/outcome"
)

// handle takes one message; it reports whether the connection goes on.
func (s *session) handle(fr frame) bool {
	if fr.kind == 0 {
		return s.startup(fr.body)
	}
	if s.awaitsKey {
		return s.takeCredential(fr)
	}
	// A key that was taken away ends the session at its next statement; an open
	// transaction is rolled back with its connection.
	if (fr.kind == 'Q' || fr.kind == 'S') && !s.authorized() {
		return false
	}
	switch fr.kind {
	case 'X':
		return false
	case 'Q':
		return s.handleQuery(fr.body)
	case 'P', 'B', 'D', 'E', 'C':
		if refusal := s.batch.add(fr, s.prepared); refusal != nil {
			s.write(fatalMessage(refusal))
			return false
		}
		return true
	case 'S':
		s.sync()
		return true
	case 'H':
		// An answer before Sync would need a connection held between
		// messages; everything is answered at Sync.
		return true
	default:
		s.write(fatalMessage(outcome.Refuse(outcome.ProtocolViolation, "message type %q is out of order here", fr.kind)))
		return false
	}
}

// handleQuery takes a simple query.
func (s *session) handleQuery(body []byte) bool {
	var msg pgproto3.Query
	if err := msg.Decode(body); err != nil {
		s.write(fatalMessage(outcome.Refuse(outcome.ProtocolViolation, "%v", err)))
		return false
	}
	st := classify.Classify(msg.String)
	if s.status == txFailed && s.pin == nil {
		s.inFailedTransaction(st.Kind)
		return true
	}
	if s.pin == nil && s.local(st, msg.String) {
		return true
	}
	frames, err := msg.Encode(nil)
	if err != nil {
		s.refuse(outcome.Refuse(outcome.ProtocolViolation, "%v", err))
		return true
	}
	s.run(work{kind: st.Kind, statement: st, frames: frames})
	return true
}

// local answers statements that need no upstream; it reports whether it did.
func (s *session) local(st classify.Statement, sql string) bool {
	switch st.Kind {
	case classify.Empty:
		s.ready(encode(nil, &pgproto3.EmptyQueryResponse{}))
	case classify.Pinning:
		s.refuse(pinningRefusal(st))
	case classify.Set:
		s.set(sql)
	case classify.Show:
		return s.show(st.Words, sql)
	case classify.End:
		s.ready(encode(nil, &pgproto3.CommandComplete{CommandTag: []byte("ROLLBACK")}))
	default:
		return false
	}
	return true
}

func pinningRefusal(st classify.Statement) *outcome.Refusal {
	return outcome.Refuse(outcome.Unsupported, "%s leaves state on the connection, which pooled connections do not keep", st.Words[0])
}

// inFailedTransaction answers a statement after the transaction's connection
// was lost, as PostgreSQL does in a failed transaction block, so that nothing
// of the block runs outside it.
func (s *session) inFailedTransaction(kind classify.Kind) {
	if kind == classify.End {
		s.status = txIdle
		s.ready(encode(nil, &pgproto3.CommandComplete{CommandTag: []byte("ROLLBACK")}))
		return
	}
	s.ready(encode(nil, &pgproto3.ErrorResponse{
		Severity: "ERROR", SeverityUnlocalized: "ERROR", Code: "25P02",
		Message: "current transaction is aborted, commands ignored until end of transaction block",
	}))
}
