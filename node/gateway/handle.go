package gateway

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/dotterelswitch/dotterelswitch/core/classify"
	"github.com/dotterelswitch/dotterelswitch/core/outcome"
)

// handle processes one message. It reports whether the connection stays open.
func (s *session) handle(fr frame) bool {
	if fr.msgType == 0 {
		return s.startup(fr.body)
	}
	if s.awaitingPassword {
		return s.handlePassword(fr)
	}
	// A revoked key ends the session at its next statement; an open transaction
	// is rolled back when the connection closes.
	if (fr.msgType == 'Q' || fr.msgType == 'S') && !s.checkCredential() {
		return false
	}
	switch fr.msgType {
	case 'X':
		return false
	case 'Q':
		if !s.batch.empty() {
			s.write(fatalMessage(outcome.Refuse(outcome.ProtocolViolation, "a Query before the Sync of the messages ahead of it")))
			return false
		}
		return s.handleQuery(fr.body)
	case 'P', 'B', 'D', 'E', 'C':
		if refusal := s.batch.add(fr, s.prepared); refusal != nil {
			s.write(fatalMessage(refusal))
			return false
		}
		return true
	case 'S':
		s.handleSync()
		return true
	case 'H':
		// Flush is ignored: answering before Sync would tie up an upstream
		// connection between messages.
		return true
	default:
		s.write(fatalMessage(outcome.Refuse(outcome.ProtocolViolation, "message type %q is out of order here", fr.msgType)))
		return false
	}
}

// handleQuery processes a simple query.
func (s *session) handleQuery(body []byte) bool {
	var msg pgproto3.Query
	if err := msg.Decode(body); err != nil {
		s.write(fatalMessage(outcome.Refuse(outcome.ProtocolViolation, "%v", err)))
		return false
	}
	st := classify.Classify(msg.String)
	if s.status == txFailed && s.pinnedTx == nil {
		s.answerInFailedTransaction(st.Kind)
		return true
	}
	if s.answerLocally(st, msg.String) {
		return true
	}
	frames, err := msg.Encode(nil)
	if err != nil {
		s.sendError(outcome.Refuse(outcome.ProtocolViolation, "%v", err))
		return true
	}
	s.run(exchange{kind: st.Kind, statement: st, frames: frames})
	return true
}

// answerLocally answers a statement that needs no upstream. It returns false for
// other statements.
func (s *session) answerLocally(st classify.Statement, sql string) bool {
	if s.pinnedTx != nil {
		return s.answerInTransaction(st, sql)
	}
	switch st.Kind {
	case classify.Empty:
		s.sendReady(encode(nil, &pgproto3.EmptyQueryResponse{}))
	case classify.Pinning:
		s.sendError(pinningRefusal(st))
	case classify.Set:
		s.set(sql)
	case classify.Show:
		return s.show(st.Tokens, sql)
	case classify.End:
		s.sendReady(encode(nil, &pgproto3.CommandComplete{CommandTag: []byte("ROLLBACK")}))
	default:
		return false
	}
	return true
}

// answerInTransaction answers a statement in an open transaction whose effect would
// outlast the transaction. The connection serves other callers afterwards.
func (s *session) answerInTransaction(st classify.Statement, sql string) bool {
	switch {
	case st.SessionState == "":
		return false
	case st.Kind == classify.Set:
		s.set(sql)
	default:
		s.sendError(pinningRefusal(st))
	}
	return true
}

func pinningRefusal(st classify.Statement) *outcome.Refusal {
	keyword := st.SessionState
	if keyword == "" {
		keyword = st.Tokens[0]
	}
	return outcome.Refuse(outcome.Unsupported, "%s leaves state on the connection, which pooled connections do not keep", keyword)
}

// answerInFailedTransaction answers a statement after the transaction's upstream
// connection was lost. Like PostgreSQL in a failed transaction block, it refuses
// everything but the end of the transaction.
func (s *session) answerInFailedTransaction(kind classify.Kind) {
	if kind == classify.End {
		s.status = txIdle
		s.sendReady(encode(nil, &pgproto3.CommandComplete{CommandTag: []byte("ROLLBACK")}))
		return
	}
	s.sendReady(encode(nil, &pgproto3.ErrorResponse{
		Severity: "ERROR", SeverityUnlocalized: "ERROR", Code: "25P02",
		Message: "current transaction is aborted, commands ignored until end of transaction block",
	}))
}
