package owner

import (
	"context"
	"encoding/base64"
	"fmt"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/dotterelswitch/dotterelswitch/core/ledger"
	"github.com/dotterelswitch/dotterelswitch/core/outcome"
	"github.com/dotterelswitch/dotterelswitch/node/pgframe"
	"github.com/dotterelswitch/dotterelswitch/node/request"
	"github.com/dotterelswitch/dotterelswitch/node/upstream"
)

// sqlStateUniqueViolation is the answer to the insert of a ledger row that exists.
const sqlStateUniqueViolation = "23505"

// sendKeyed runs a request with an idempotency key and the insert of its ledger
// row in one transaction. If the row exists, the request has run already and its
// stored answer is returned.
func (o *Owner) sendKeyed(ctx context.Context, conn *upstream.Conn, req *request.Request) (upstream.Answer, *request.Response) {
	key, err := ledger.ParseKey(req.IdempotencyKey)
	if err != nil {
		return upstream.Answer{}, request.Refused(outcome.Refuse(outcome.ProtocolViolation, "%v", err))
	}
	if key.Expired(time.Now()) {
		return upstream.Answer{}, request.Refused(outcome.Refuse(outcome.KeyExpired, ""))
	}
	k := keyedRun{ctx: ctx, conn: conn, row: key.RowKey(req.Team), fingerprint: ledger.Fingerprint(req.Frames)}
	answer, refusal := k.run(req.Frames)
	if refusal != nil {
		return upstream.Answer{}, request.Refused(refusal)
	}
	return answer, nil
}

// keyedRun is the execution of one keyed request on a connection. If it fails half
// way, the connection is left dirty or in a transaction, and the pool closes it.
type keyedRun struct {
	ctx         context.Context
	conn        *upstream.Conn
	row         string
	fingerprint string
}

func (k *keyedRun) run(frames []byte) (upstream.Answer, *outcome.Refusal) {
	inserted, err := k.query(fmt.Sprintf(
		"BEGIN; INSERT INTO dotterelswitch_ledger (key, fingerprint, answer, created) VALUES (%s, %s, '', %s)",
		upstream.Literal(k.row), upstream.Literal(k.fingerprint), upstream.Literal(ledger.FormatTimestamp(time.Now()))))
	if err != nil {
		return inserted, runRefusal(err, false)
	}
	if inserted.ErrorCode == sqlStateUniqueViolation {
		return k.replay()
	}
	if inserted.ErrorCode != "" {
		return k.rollback(inserted)
	}
	answer, err := k.conn.Run(k.ctx, frames)
	if err != nil {
		return answer, runRefusal(err, false)
	}
	if answer.ErrorCode != "" {
		return k.rollback(answer)
	}
	if answer.TxStatus != 'T' || len(answer.Frames) > ledger.MaxAnswerBytes {
		_, _ = k.rollback(answer)
		return answer, outcome.Refuse(outcome.Unsupported, "a keyed request is one statement with an answer of at most %d bytes", ledger.MaxAnswerBytes)
	}
	return k.commit(answer)
}

// commit stores the answer and commits the transaction. Only a connection lost
// here leaves the outcome unknown; a retry with the same key resolves it.
func (k *keyedRun) commit(answer upstream.Answer) (upstream.Answer, *outcome.Refusal) {
	result, err := k.query(fmt.Sprintf(
		"UPDATE dotterelswitch_ledger SET answer = %s WHERE key = %s; COMMIT",
		upstream.Literal(base64.StdEncoding.EncodeToString(answer.Frames)), upstream.Literal(k.row)))
	if err != nil {
		return result, runRefusal(err, true)
	}
	if result.ErrorCode != "" {
		return k.rollback(result)
	}
	answer.TxStatus, answer.Position = result.TxStatus, result.Position
	return answer, nil
}

// rollback rolls the transaction back and returns the error that caused it.
func (k *keyedRun) rollback(failed upstream.Answer) (upstream.Answer, *outcome.Refusal) {
	result, err := k.query("ROLLBACK")
	if err != nil {
		return failed, runRefusal(err, false)
	}
	failed.TxStatus, failed.Position = result.TxStatus, result.Position
	return failed, nil
}

// replay returns the stored answer if the request is the same.
func (k *keyedRun) replay() (upstream.Answer, *outcome.Refusal) {
	if _, refusal := k.rollback(upstream.Answer{}); refusal != nil {
		return upstream.Answer{}, refusal
	}
	found, err := k.query("SELECT fingerprint, answer FROM dotterelswitch_ledger WHERE key = " + upstream.Literal(k.row))
	if err != nil {
		return found, runRefusal(err, false)
	}
	values := firstRow(found.Frames)
	if len(values) != 2 {
		return found, outcome.Refuse(outcome.WrongMember, "the ledger row was trimmed meanwhile")
	}
	if string(values[0]) != k.fingerprint {
		return found, outcome.Refuse(outcome.KeyReused, "")
	}
	frames, err := base64.StdEncoding.DecodeString(string(values[1]))
	if err != nil {
		return found, outcome.Refuse(outcome.UnknownOutcome, "the ledger row is damaged")
	}
	return upstream.Answer{Frames: frames, TxStatus: found.TxStatus, Position: found.Position}, nil
}

func (k *keyedRun) query(sql string) (upstream.Answer, error) {
	frames, err := (&pgproto3.Query{String: sql}).Encode(nil)
	if err != nil {
		return upstream.Answer{}, err
	}
	return k.conn.Run(k.ctx, frames)
}

// firstRow returns the values of the first DataRow among the messages.
func firstRow(frames []byte) [][]byte {
	for {
		message, rest, ok := pgframe.Next(frames)
		if !ok {
			return nil
		}
		var row pgproto3.DataRow
		if message[0] == 'D' && row.Decode(message[pgframe.HeaderSize:]) == nil {
			return row.Values
		}
		frames = rest
	}
}
