package upstream

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/dotterelswitch/dotterelswitch/core/group"
	"github.com/dotterelswitch/dotterelswitch/core/logpos"
	"github.com/dotterelswitch/dotterelswitch/node/pgframe"
)

// Control is a member's control connection, used for group functions and advisory
// locks. It reconnects automatically and serializes calls. It is safe for
// concurrent use.
type Control struct {
	target Target

	mu   sync.Mutex
	conn *Conn
	// generation increases with each new connection. A change means that session
	// state, such as an advisory lock, is lost.
	generation uint64
}

// NewControl returns a control connection that connects on first use.
func NewControl(t Target) *Control { return &Control{target: t} }

func (c *Control) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drop()
}

// drop closes the connection; it needs mu held.
func (c *Control) drop() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// Generation returns the number of the current or last connection, and whether
// it is open.
func (c *Control) Generation() (uint64, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.generation, c.conn != nil
}

// controlAnswerLimit bounds the answers to group functions, in bytes.
const controlAnswerLimit = 1 << 20

// query runs a statement that returns a single row.
func (c *Control) query(ctx context.Context, sql string) ([][]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn == nil {
		conn, err := Open(ctx, c.target, controlAnswerLimit)
		if err != nil {
			return nil, err
		}
		conn.control = true
		c.conn = conn
		c.generation++
	}
	row, err := c.conn.queryRow(ctx, sql)
	if err != nil {
		var pgErr *pgconn.PgError
		if !errors.As(err, &pgErr) {
			c.drop()
		}
		return nil, &ControlError{Member: c.target.Member, Call: sql, Err: err}
	}
	return row, nil
}

// queryRow runs a statement that returns a single row. It fails with a PgError if the member
// answers with an error.
func (c *Conn) queryRow(ctx context.Context, sql string) ([][]byte, error) {
	frames, err := (&pgproto3.Query{String: sql}).Encode(nil)
	if err != nil {
		return nil, err
	}
	answer, err := c.Run(ctx, frames)
	if err != nil {
		return nil, err
	}
	var rows [][][]byte
	for {
		message, rest, ok := pgframe.Next(answer.Frames)
		if !ok {
			break
		}
		body := message[pgframe.HeaderSize:]
		switch message[0] {
		case 'E':
			var e pgproto3.ErrorResponse
			if err := e.Decode(body); err != nil {
				return nil, err
			}
			return nil, pgconn.ErrorResponseToPgError(&e)
		case 'D':
			var row pgproto3.DataRow
			if err := row.Decode(body); err != nil {
				return nil, err
			}
			rows = append(rows, row.Values)
		}
		answer.Frames = rest
	}
	if len(rows) != 1 {
		return nil, errors.New("expected one row")
	}
	return rows[0], nil
}

// Status implements GroupMember.
func (c *Control) Status(ctx context.Context) (group.Status, error) {
	st, _, err := c.statusQuery(ctx, "SELECT group_status()")
	return st, err
}

// Await implements GroupMember.
func (c *Control) WaitForChange(ctx context.Context, lastChange uint64, timeout time.Duration) (group.Status, error) {
	st, _, err := c.statusQuery(ctx, fmt.Sprintf("SELECT group_await(%d, %d)", lastChange, timeout.Milliseconds()))
	return st, err
}

var _ GroupMember = (*Control)(nil)

// Claim implements GroupMember.
func (c *Control) RequestTerm(ctx context.Context, term logpos.Term, candidate string) (group.Status, bool, error) {
	return c.statusQuery(ctx, fmt.Sprintf("SELECT group_claim(%d, %s)", term, Literal(candidate)))
}

// Promote implements GroupMember.
func (c *Control) Promote(ctx context.Context, term logpos.Term, candidate string) (group.Status, bool, error) {
	return c.statusQuery(ctx, fmt.Sprintf("SELECT group_promote(%d, %s)", term, Literal(candidate)))
}

// Follow implements GroupMember.
func (c *Control) Follow(ctx context.Context, term logpos.Term, primary string) (group.Status, bool, error) {
	return c.statusQuery(ctx, fmt.Sprintf("SELECT group_follow(%d, %s)", term, Literal(primary)))
}

// Literal quotes a string as an SQL literal. It relies on
// standard_conforming_strings, which is on by default.
func Literal(s string) string { return "'" + strings.ReplaceAll(s, "'", "''") + "'" }

const statusColumns = 11

func (c *Control) statusQuery(ctx context.Context, sql string) (group.Status, bool, error) {
	row, err := c.query(ctx, sql)
	if err != nil {
		return group.Status{}, false, err
	}
	st, done, err := parseStatus(row)
	if err != nil {
		return group.Status{}, false, &ControlError{Member: c.target.Member, Call: sql, Err: err}
	}
	return st, done, nil
}

func parseStatus(row [][]byte) (group.Status, bool, error) {
	if len(row) != statusColumns {
		return group.Status{}, false, errors.New("unexpected number of columns")
	}
	grantedTerm, err1 := strconv.ParseUint(string(row[1]), 10, 64)
	follows, err2 := strconv.ParseUint(string(row[3]), 10, 64)
	last, err3 := logpos.Parse(string(row[4]))
	applied, err4 := logpos.Parse(string(row[5]))
	history, err5 := logpos.ParseHistory(string(row[6]))
	acks, err6 := parseAcks(string(row[7]))
	contactAge, err7 := strconv.ParseInt(string(row[8]), 10, 64)
	change, err8 := strconv.ParseUint(string(row[9]), 10, 64)
	st := group.Status{
		Member: string(row[0]), GrantedTerm: logpos.Term(grantedTerm), Primary: string(row[2]) == "true",
		Follows: logpos.Term(follows), Last: last, Applied: applied, History: history,
		Acks: acks, Change: change, SincePrimaryContact: time.Duration(contactAge) * time.Microsecond,
	}
	return st, string(row[10]) == "true", errors.Join(err1, err2, err3, err4, err5, err6, err7, err8)
}

// parseAcks parses comma-separated "member=term/offset" entries.
func parseAcks(text string) ([]group.Ack, error) {
	if text == "" {
		return nil, nil
	}
	var acks []group.Ack
	for part := range strings.SplitSeq(text, ",") {
		member, position, _ := strings.Cut(part, "=")
		p, err := logpos.Parse(position)
		if err != nil {
			return nil, err
		}
		acks = append(acks, group.Ack{Member: member, Last: p})
	}
	return acks, nil
}

// TryLock tries to take the advisory lock that identifies the owner of the
// member's pool, and returns the generation of the connection that holds it.
func (c *Control) TryLock(ctx context.Context, key int64) (bool, uint64, error) {
	row, err := c.query(ctx, fmt.Sprintf("SELECT pg_try_advisory_lock(%d)", key))
	if err != nil {
		return false, 0, err
	}
	generation, _ := c.Generation()
	return string(row[0]) == "t", generation, nil
}

// Unlock releases the advisory lock.
func (c *Control) Unlock(ctx context.Context, key int64) error {
	_, err := c.query(ctx, fmt.Sprintf("SELECT pg_advisory_unlock(%d)", key))
	return err
}

// Terminate ends the connections whose application name begins with prefix,
// except those whose name is keep.
func (c *Control) Terminate(ctx context.Context, prefix, keep string) error {
	_, err := c.query(ctx, fmt.Sprintf("SELECT group_terminate(%s, %s)", Literal(prefix), Literal(keep)))
	return err
}
