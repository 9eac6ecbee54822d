package gateway

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/dotterelswitch/dotterelswitch/core/classify"
	"github.com/dotterelswitch/dotterelswitch/core/outcome"
	"github.com/dotterelswitch/dotterelswitch/node/pgframe"
)

// maxPrepared bounds the named statements of one session.
const maxPrepared = 1024

// preparedStatement is a statement prepared by the caller. The session keeps it,
// because requests may run on different upstream connections.
type preparedStatement struct {
	parse     pgproto3.Parse
	statement classify.Statement
}

// batch collects extended-protocol messages up to Sync. Named statements are
// mapped to the upstream connection's unnamed statement: a Parse is inserted
// before each use of a statement that is not the current unnamed one, and its
// ParseComplete is removed from the answer.
type batch struct {
	frames []byte
	// hideParseComplete has an entry for each Parse sent, true if its
	// ParseComplete is to be removed from the answer.
	hideParseComplete []bool
	// unnamed is the caller's name of the statement that the upstream connection
	// has as its unnamed one, if hasUnnamed is set.
	unnamed    string
	hasUnnamed bool
	// kind is the combined kind of the executed statements.
	kind classify.Kind
	// hasExecute is set if the batch contains an Execute.
	hasExecute bool
	// statement is the first executed statement, or the last prepared or described
	// one if none is executed.
	statement classify.Statement
	portals   map[string]classify.Statement
	// refusal is the reason why the batch is not run; nil if there is none.
	refusal *outcome.Refusal
}

// empty reports whether nothing waits for Sync.
func (b *batch) empty() bool { return len(b.frames) == 0 && b.refusal == nil }

// add appends one message. A returned refusal ends the connection; a refusal
// stored in the batch is sent at Sync.
func (b *batch) add(fr frame, prepared map[string]preparedStatement) *outcome.Refusal {
	if b.refusal != nil {
		return nil
	}
	var err error
	switch fr.msgType {
	case 'P':
		err = b.addParse(fr.body, prepared)
	case 'B':
		err = b.addBind(fr.body, prepared)
	case 'D':
		err = b.addDescribe(fr.body, prepared)
	case 'E':
		err = b.addExecute(fr.body)
	case 'C':
		err = b.addClose(fr.body, prepared)
	}
	if err != nil {
		return outcome.Refuse(outcome.ProtocolViolation, "%v", err)
	}
	return nil
}

func (b *batch) addParse(body []byte, prepared map[string]preparedStatement) error {
	var msg pgproto3.Parse
	if err := msg.Decode(body); err != nil {
		return err
	}
	if len(prepared) >= maxPrepared {
		b.refusal = outcome.Refuse(outcome.TooLarge, "more than %d prepared statements", maxPrepared)
		return nil
	}
	st := classify.Classify(msg.Query)
	if st.Kind == classify.Pinning {
		b.refusal = pinningRefusal(st)
		return nil
	}
	if st.Kind == classify.Set && st.SessionState != "" {
		if msg.Query, b.refusal = transactionSetting(msg.Query); b.refusal != nil {
			return nil
		}
	}
	name := msg.Name
	msg.Name = ""
	prepared[name] = preparedStatement{parse: msg, statement: st}
	b.noteStatement(st)
	return b.emitParse(name, msg, false)
}

// emitParse appends a Parse of a statement as the connection's unnamed statement.
func (b *batch) emitParse(name string, msg pgproto3.Parse, hidden bool) error {
	b.unnamed, b.hasUnnamed = name, true
	b.hideParseComplete = append(b.hideParseComplete, hidden)
	return b.encode(&msg)
}

func (b *batch) encode(msg pgproto3.FrontendMessage) error {
	next, err := msg.Encode(b.frames)
	if err == nil {
		b.frames = next
	}
	return err
}

// useStatement appends a Parse unless the named statement is already the
// connection's unnamed one.
func (b *batch) useStatement(name string, prepared map[string]preparedStatement) (classify.Statement, bool, error) {
	p, found := prepared[name]
	if !found {
		b.refusal = &outcome.Refusal{Code: outcome.ProtocolViolation, Detail: "prepared statement " + name + " does not exist"}
		return classify.Statement{}, false, nil
	}
	if b.hasUnnamed && b.unnamed == name {
		return p.statement, true, nil
	}
	return p.statement, true, b.emitParse(name, p.parse, true)
}

func (b *batch) addBind(body []byte, prepared map[string]preparedStatement) error {
	var msg pgproto3.Bind
	if err := msg.Decode(body); err != nil {
		return err
	}
	st, found, err := b.useStatement(msg.PreparedStatement, prepared)
	if !found || err != nil {
		return err
	}
	if b.portals == nil {
		b.portals = make(map[string]classify.Statement)
	}
	b.portals[msg.DestinationPortal] = st
	msg.PreparedStatement = ""
	return b.encode(&msg)
}

func (b *batch) addDescribe(body []byte, prepared map[string]preparedStatement) error {
	var msg pgproto3.Describe
	if err := msg.Decode(body); err != nil {
		return err
	}
	if msg.ObjectType == 'S' {
		st, found, err := b.useStatement(msg.Name, prepared)
		if !found || err != nil {
			return err
		}
		b.noteStatement(st)
		msg.Name = ""
	}
	return b.encode(&msg)
}

func (b *batch) addExecute(body []byte) error {
	var msg pgproto3.Execute
	if err := msg.Decode(body); err != nil {
		return err
	}
	st, found := b.portals[msg.Portal]
	if !found {
		// A portal of an earlier batch stays open within a transaction; its
		// statement is unknown and is treated as a write.
		st = classify.Statement{Kind: classify.Write, Count: 1}
	}
	if !b.hasExecute {
		b.hasExecute, b.kind, b.statement = true, st.Kind, st
	} else {
		b.kind = mergeKinds(b.kind, st.Kind)
	}
	return b.encode(&msg)
}

func (b *batch) addClose(body []byte, prepared map[string]preparedStatement) error {
	var msg pgproto3.Close
	if err := msg.Decode(body); err != nil {
		return err
	}
	if msg.ObjectType == 'S' {
		delete(prepared, msg.Name)
		msg.Name = ""
		b.hasUnnamed = false
	}
	return b.encode(&msg)
}

// noteStatement records the statement of a batch without an Execute.
func (b *batch) noteStatement(st classify.Statement) {
	if !b.hasExecute {
		b.statement = st
	}
}

// mergeKinds returns the combined kind of two statements of one batch.
func mergeKinds(a, b classify.Kind) classify.Kind {
	if a == classify.Read && b == classify.Read {
		return classify.Read
	}
	return classify.Write
}

// routingKind returns the kind by which the batch is routed. A batch without an
// Execute only requests descriptions, which any member can return.
func (b *batch) routingKind() classify.Kind {
	if !b.hasExecute {
		return classify.Read
	}
	return b.kind
}

// parseComplete is the type byte of ParseComplete.
const parseComplete = '1'

// stripHidden removes the ParseCompletes of inserted Parses from an answer.
func (b *batch) stripHidden(answer []byte) []byte {
	out := make([]byte, 0, len(answer))
	parseCompletes := 0
	for {
		message, rest, ok := pgframe.Next(answer)
		if !ok {
			return out
		}
		hidden := message[0] == parseComplete && parseCompletes < len(b.hideParseComplete) && b.hideParseComplete[parseCompletes]
		if message[0] == parseComplete {
			parseCompletes++
		}
		if !hidden {
			out = append(out, message...)
		}
		answer = rest
	}
}
