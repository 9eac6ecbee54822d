package lineplatform

import (
	"fmt"
	"maps"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/dotterelswitch/dotterelswitch/standin/crlf"
)

// conn is one client connection to a member.
type conn struct {
	member  *Member
	netConn net.Conn
	// team is the team for which the connection was opened.
	team               string
	preparedStatements map[string]string
	sessionValues      map[string]string
	// inTx, readOnly, txFailed and pendingWrites describe the open transaction.
	inTx, readOnly, txFailed bool
	pendingWrites            []write
	// txID is the ID of the open transaction, or zero.
	txID uint64
	// unacknowledged is the offset of the commit of the statement in progress; zero without
	// one.
	unacknowledged uint64
	// terminated is set once the client has sent TERMINATE.
	terminated bool
}

// reply is the answer to one statement. code is empty unless the statement failed.
type reply struct {
	rows      []string
	signature string
	code      string
}

func errorReply(code string) reply { return reply{code: code} }

func (m *Member) serve(nc net.Conn) {
	defer func() { _ = nc.Close() }()
	r := crlf.NewReader(nc)
	c := &conn{member: m, netConn: nc, preparedStatements: map[string]string{}, sessionValues: map[string]string{}}
	line, err := r.Read()
	if err != nil || m.unresponsive.Load() {
		m.waitWhileUnresponsive()
		return
	}
	if !c.login(line) {
		return
	}
	defer c.untrack()
	for {
		line, err := r.Read()
		if err != nil {
			return
		}
		if line == "TERMINATE" {
			c.terminated = true
			return
		}
		if m.unresponsive.Load() {
			m.waitWhileUnresponsive()
			return
		}
		if !c.handleQuery(line) {
			return
		}
	}
}

// waitWhileUnresponsive keeps a connection open, without an answer, while the member
// is unresponsive.
func (m *Member) waitWhileUnresponsive() {
	for m.unresponsive.Load() {
		time.Sleep(time.Millisecond)
	}
}

// login answers the START line and reports whether the connection was accepted.
func (c *conn) login(line string) bool {
	m := c.member
	fields := strings.Fields(line)
	code := ""
	m.group.mu.Lock()
	switch {
	case len(fields) < 3 || fields[0] != "START":
		code = "MALFORMED"
	case fields[1] != m.group.service || (len(fields) > 3 && fields[3] != m.ID):
		code = "MISROUTED"
	case len(m.conns) >= m.group.opts.MaxConnections:
		code = "TOOMANY"
		m.refusedLogins.Add(1)
	default:
		m.conns[c] = true
	}
	m.group.mu.Unlock()
	if code != "" {
		_, _ = fmt.Fprintf(c.netConn, "ERROR %s %s\r\n", code, m.ID)
		return false
	}
	c.team = fields[2]
	m.acceptedLogins.Add(1)
	m.occupySlot()
	_, err := fmt.Fprintf(c.netConn, "READY I %s\r\n", m.Position())
	return err == nil
}

// untrack removes the connection from the member's connections.
func (c *conn) untrack() {
	c.member.group.mu.Lock()
	defer c.member.group.mu.Unlock()
	if c.member.conns[c] && !c.terminated {
		c.member.abandonedConns.Add(1)
	}
	delete(c.member.conns, c)
}

// occupySlot waits for a free slot and occupies it for the service time.
func (m *Member) occupySlot() {
	m.slots <- struct{}{}
	time.Sleep(m.group.opts.ServiceTime)
	<-m.slots
}

// handleQuery executes and answers one QUERY line. It returns false if the
// connection has to be closed.
func (c *conn) handleQuery(line string) bool {
	id, text, _ := strings.Cut(strings.TrimPrefix(line, "QUERY "), " ")
	answer := c.execute(id, text)
	committed := c.unacknowledged
	c.unacknowledged = 0
	if committed > 0 && !c.member.awaitSyncReplicas(committed) {
		return false
	}
	// The id "-" marks statements of the host itself, whose answers are not dropped.
	if id != "-" && c.member.answersToDrop.Load() > 0 {
		c.member.answersToDrop.Add(-1)
		return true
	}
	var b strings.Builder
	for _, row := range answer.rows {
		b.WriteString("DATAROW " + row + "\r\n")
	}
	if answer.code != "" {
		b.WriteString("ERROR " + answer.code + " " + c.member.ID + "\r\n")
	} else {
		b.WriteString("COMPLETE " + answer.signature + "\r\n")
	}
	state := "I"
	if c.inTx {
		state = "T"
	}
	if c.txFailed {
		state = "E"
	}
	b.WriteString("READY " + state + " " + c.member.Position() + "\r\n")
	_, err := c.netConn.Write([]byte(b.String()))
	return err == nil
}

// execute executes one statement.
func (c *conn) execute(id, text string) reply {
	m := c.member
	if rest, found := strings.CutPrefix(text, "AFTER "); found {
		position, statement, _ := strings.Cut(rest, " ")
		replicated, err := m.hasReplicated(position)
		if err != nil {
			return errorReply("MALFORMED")
		}
		if !replicated {
			return errorReply("LAGGING")
		}
		text = statement
	}
	verb, rest, _ := strings.Cut(text, " ")
	name, value, _ := strings.Cut(rest, " ")
	switch verb {
	case "SET":
		c.sessionValues[name] = value
	case "PREPARE":
		c.preparedStatements[name] = value
	case "RESET":
		clear(c.sessionValues)
		clear(c.preparedStatements)
	case "EXECUTE":
		shape, found := c.preparedStatements[name]
		if !found {
			return errorReply("NOSTMT")
		}
		preparedVerb, _, _ := strings.Cut(shape, " ")
		return c.readOrWrite(preparedVerb, value, Execution{ID: id, Text: text, Shape: shape})
	case "FETCH", "STORE":
		return c.readOrWrite(verb, rest, Execution{ID: id, Text: text})
	case "BEGIN":
		return c.begin(rest == "FETCH")
	case "COMMIT":
		return c.commit(id)
	case "ROLLBACK":
		c.endTx()
	case "STATUS", "RESUME":
		return m.control(verb, 0)
	case "PAUSE", "STEPDOWN":
		term, err := parseUint(rest)
		if err != nil {
			return errorReply("MALFORMED")
		}
		return m.control(verb, term)
	default:
		return errorReply("MALFORMED")
	}
	return reply{signature: "-"}
}

// hasReplicated reports whether the member's log contains a position, given as
// TERM.OFFSET.
func (m *Member) hasReplicated(position string) (bool, error) {
	want, err := ParsePosition(position)
	if err != nil {
		return false, err
	}
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	m.replicate()
	return m.hasPosition(want.Term, want.Offset), nil
}

func (c *conn) endTx() {
	c.inTx, c.readOnly, c.txFailed, c.pendingWrites, c.txID = false, false, false, nil, 0
}

func (c *conn) begin(readOnly bool) reply {
	c.member.group.mu.Lock()
	defer c.member.group.mu.Unlock()
	if !readOnly && !c.member.primary {
		return errorReply("READONLY")
	}
	c.inTx, c.readOnly = true, readOnly
	c.member.group.lastTxID++
	c.txID = c.member.group.lastTxID
	return reply{signature: "-"}
}

// lostPrimary reports whether the connection has an open read-write transaction on a
// member that is no longer the primary.
func (c *conn) lostPrimary() bool { return c.inTx && !c.readOnly && !c.member.primary }

// recordExecution records a statement with the state of the connection and the
// member. The caller holds the group's mutex.
func (c *conn) recordExecution(execution Execution) {
	execution.Member, execution.Position, execution.TxID = c.member.ID, c.member.lastPosition(), c.txID
	execution.Team, execution.ExecutedAt = c.team, time.Now()
	for _, name := range slices.Sorted(maps.Keys(c.sessionValues)) {
		execution.SessionValues += name + "=" + c.sessionValues[name] + " "
	}
	c.member.group.executions = append(c.member.group.executions, execution)
}

// readOrWrite executes a FETCH or a STORE.
func (c *conn) readOrWrite(verb, args string, execution Execution) reply {
	id := execution.ID
	m := c.member
	if m.statementsToRefuse.Load() > 0 {
		m.statementsToRefuse.Add(-1)
		return errorReply("BUSY")
	}
	m.occupySlot()
	if m.failing.Load() {
		c.txFailed = c.inTx
		return errorReply("FAILED")
	}
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	m.replicate()
	if c.lostPrimary() || (verb == "STORE" && !m.primary) {
		c.txFailed = c.inTx
		return errorReply("READONLY")
	}
	item, value, _ := strings.Cut(args, " ")
	if verb == "FETCH" {
		execution.Row = m.lookup(item)
	}
	c.recordExecution(execution)
	if verb == "FETCH" {
		return reply{rows: []string{execution.Row}, signature: "sig-" + m.ID + "-" + id}
	}
	w := write{statementID: id, item: item, value: value}
	if c.inTx {
		c.pendingWrites = append(c.pendingWrites, w)
	} else {
		m.appendCommit([]write{w})
		c.unacknowledged = uint64(len(m.log))
	}
	return reply{signature: "sig-" + m.ID + "-" + id}
}

// control executes STATUS, PAUSE, RESUME or STEPDOWN and answers with the member's
// status. The reported lag is always zero.
func (m *Member) control(verb string, term uint64) reply {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	m.replicate()
	switch {
	case verb == "PAUSE" && term > m.term:
		m.pausedTerm = term
	case verb == "RESUME":
		m.pausedTerm = 0
	case verb == "STEPDOWN" && term > m.term:
		m.primary = false
		go m.register()
	}
	role := "replica"
	if m.primary {
		role = "primary"
	}
	row := strings.Join([]string{
		role, strconv.FormatUint(m.term, 10), m.lastPosition(), strconv.FormatUint(m.pausedTerm, 10), "0",
		strconv.Itoa(len(m.slots)), strconv.Itoa(len(m.conns)),
	}, " ")
	return reply{rows: []string{row}, signature: "-"}
}
