package gateway

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/dotterelswitch/dotterelswitch/core/classify"
	"github.com/dotterelswitch/dotterelswitch/core/outcome"
	"github.com/dotterelswitch/dotterelswitch/node/pgframe"
)

// maxPrepared bounds the named statements of one session.
const maxPrepared = 1024

// preparedStatement is a statement that the caller has parsed. It lives in the
// session, because the upstream connection changes from request to request.
type preparedStatement struct {
	parse     pgproto3.Parse
	statement classify.Statement
}

// batch collects the extended-protocol messages up to Sync. Named statements
// become the unnamed one of the upstream connection: a Parse is put ahead of
// each use of a statement that is not the unnamed one at that point, and its
// ParseComplete is taken out of the answer.
type batch struct {
	frames []byte
	// hide lists, among the ParseCompletes of the answer, those to take out.
	hide   []bool
	parsed string
	isOpen bool
	kind   classify.Kind
	// executes is whether any Execute is among the messages.
	executes  bool
	statement classify.Statement
	bound     map[string]classify.Statement
	refusal   *outcome.Refusal
}

// add takes one message. A refusal that is returned ends the connection; one
// that is kept in the batch answers it at Sync.
func (b *batch) add(fr frame, prepared map[string]preparedStatement) *outcome.Refusal {
	if b.refusal != nil {
		return nil
	}
	var err error
	switch fr.kind {
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
	name := msg.Name
	msg.Name = ""
	prepared[name] = preparedStatement{parse: msg, statement: st}
	b.note(st)
	return b.emitParse(name, msg, false)
}

// emitParse makes a statement the unnamed one of the connection.
func (b *batch) emitParse(name string, msg pgproto3.Parse, hidden bool) error {
	b.parsed, b.isOpen = name, true
	b.hide = append(b.hide, hidden)
	return b.encode(&msg)
}

func (b *batch) encode(msg pgproto3.FrontendMessage) error {
	next, err := msg.Encode(b.frames)
	if err == nil {
		b.frames = next
	}
	return err
}

// use makes sure that the named statement is the connection's unnamed one.
func (b *batch) use(name string, prepared map[string]preparedStatement) (classify.Statement, bool, error) {
	p, found := prepared[name]
	if !found {
		b.refusal = &outcome.Refusal{Code: outcome.ProtocolViolation, Detail: "prepared statement " + name + " does not exist"}
		return classify.Statement{}, false, nil
	}
	if b.isOpen && b.parsed == name {
		return p.statement, true, nil
	}
	return p.statement, true, b.emitParse(name, p.parse, true)
}

func (b *batch) addBind(body []byte, prepared map[string]preparedStatement) error {
	var msg pgproto3.Bind
	if err := msg.Decode(body); err != nil {
		return err
	}
	st, found, err := b.use(msg.PreparedStatement, prepared)
	if !found || err != nil {
		return err
	}
	if b.bound == nil {
		b.bound = make(map[string]classify.Statement)
	}
	b.bound[msg.DestinationPortal] = st
	msg.PreparedStatement = ""
	return b.encode(&msg)
}

func (b *batch) addDescribe(body []byte, prepared map[string]preparedStatement) error {
	var msg pgproto3.Describe
	if err := msg.Decode(body); err != nil {
		return err
	}
	if msg.ObjectType == 'S' {
		st, found, err := b.use(msg.Name, prepared)
		if !found || err != nil {
			return err
		}
		b.note(st)
		msg.Name = ""
	}
	return b.encode(&msg)
}

func (b *batch) addExecute(body []byte) error {
	var msg pgproto3.Execute
	if err := msg.Decode(body); err != nil {
		return err
	}
	st, found := b.bound[msg.Portal]
	if !found {
		// A portal of an earlier batch lives on in a transaction.
		st = classify.Statement{Kind: classify.Write, Count: 1}
	}
	if !b.executes {
		b.executes, b.kind, b.statement = true, st.Kind, st
	} else {
		b.kind = join(b.kind, st.Kind)
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
		b.isOpen = false
	}
	return b.encode(&msg)
}

// note remembers the statement of a batch that executes nothing.
func (b *batch) note(st classify.Statement) {
	if !b.executes {
		b.statement = st
	}
}

// join returns the kind of several statements in one batch.
func join(a, b classify.Kind) classify.Kind {
	if a == classify.Read && b == classify.Read {
		return classify.Read
	}
	return classify.Write
}

// kindToRun returns how the batch is routed. One that executes nothing only
// asks for descriptions, which any member can give.
func (b *batch) kindToRun() classify.Kind {
	if !b.executes {
		return classify.Read
	}
	return b.kind
}

const parseComplete = '1'

// visible takes the hidden ParseCompletes out of an answer.
func (b *batch) visible(answer []byte) []byte {
	out := make([]byte, 0, len(answer))
	seen := 0
	for {
		message, rest, ok := pgframe.Next(answer)
		if !ok {
			return out
		}
		hidden := message[0] == parseComplete && seen < len(b.hide) && b.hide[seen]
		if message[0] == parseComplete {
			seen++
		}
		if !hidden {
			out = append(out, message...)
		}
		answer = rest
	}
}
