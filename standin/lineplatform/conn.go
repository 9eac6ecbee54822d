package lineplatform

import (
	"bufio"
	"fmt"
	"maps"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"
)

// conn is one connection to a member.
type conn struct {
	member *Member
	net    net.Conn
	// team is in whose name the connection was opened.
	team     string
	prepared map[string]string
	values   map[string]string
	// inTx, readOnly and pending describe the open transaction.
	inTx, readOnly, failed bool
	pending                []write
	// tx names the open transaction; zero while there is none.
	tx uint64
	// goodbye tells that the other end has taken its leave.
	goodbye bool
}

// reply is the answer to one statement.
type reply struct {
	rows      []string
	signature string
	code      string
}

func refused(code string) reply { return reply{code: code} }

func (m *Member) serve(nc net.Conn) {
	defer func() { _ = nc.Close() }()
	r := bufio.NewReader(nc)
	c := &conn{member: m, net: nc, prepared: map[string]string{}, values: map[string]string{}}
	line, err := r.ReadString('\n')
	if err != nil || m.silent.Load() {
		m.holdSilent()
		return
	}
	if !c.login(strings.TrimRight(line, "\r\n")) {
		return
	}
	defer c.leave()
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		line = strings.TrimRight(line, "\r\n")
		if line == "TERMINATE" {
			c.goodbye = true
			return
		}
		if m.silent.Load() {
			m.holdSilent()
			return
		}
		if !c.answer(line) {
			return
		}
	}
}

// holdSilent keeps a connection open while the member is silent.
func (m *Member) holdSilent() {
	for m.silent.Load() {
		time.Sleep(time.Millisecond)
	}
}

func (c *conn) login(line string) bool {
	m := c.member
	f := strings.Fields(line)
	code := ""
	m.group.mu.Lock()
	switch {
	case len(f) < 3 || f[0] != "START":
		code = "MALFORMED"
	case f[1] != m.group.service || (len(f) > 3 && f[3] != m.ID):
		code = "MISROUTED"
	case len(m.conns) >= m.group.opts.MaxConnections:
		code = "TOOMANY"
		m.crowded.Add(1)
	default:
		m.conns[c] = true
	}
	m.group.mu.Unlock()
	if code != "" {
		_, _ = fmt.Fprintf(c.net, "ERROR %s %s\r\n", code, m.ID)
		return false
	}
	c.team = f[2]
	m.logins.Add(1)
	m.work()
	_, err := fmt.Fprintf(c.net, "READY I %s\r\n", m.Position())
	return err == nil
}

func (c *conn) leave() {
	c.member.group.mu.Lock()
	defer c.member.group.mu.Unlock()
	if c.member.conns[c] && !c.goodbye {
		c.member.abandoned.Add(1)
	}
	delete(c.member.conns, c)
}

// work takes a slot for the time of one statement.
func (m *Member) work() {
	m.slots <- struct{}{}
	time.Sleep(m.group.opts.Work)
	<-m.slots
}

// answer runs one QUERY line; it reports whether the connection goes on.
func (c *conn) answer(line string) bool {
	id, text, _ := strings.Cut(strings.TrimPrefix(line, "QUERY "), " ")
	rep := c.run(id, text)
	if id != "-" && c.member.loseAnswers.Load() > 0 {
		c.member.loseAnswers.Add(-1)
		return true
	}
	var b strings.Builder
	for _, row := range rep.rows {
		b.WriteString("DATAROW " + row + "\r\n")
	}
	if rep.code != "" {
		b.WriteString("ERROR " + rep.code + " " + c.member.ID + "\r\n")
	} else {
		b.WriteString("COMPLETE " + rep.signature + "\r\n")
	}
	state := "I"
	if c.inTx {
		state = "T"
	}
	if c.failed {
		state = "E"
	}
	b.WriteString("READY " + state + " " + c.member.Position() + "\r\n")
	_, err := c.net.Write([]byte(b.String()))
	return err == nil
}

// run carries one statement out.
func (c *conn) run(id, text string) reply {
	m := c.member
	if rest, found := strings.CutPrefix(text, "AFTER "); found {
		position, statement, _ := strings.Cut(rest, " ")
		holds, err := m.holds(position)
		if err != nil {
			return refused("MALFORMED")
		}
		if !holds {
			return refused("LAGGING")
		}
		text = statement
	}
	verb, rest, _ := strings.Cut(text, " ")
	name, value, _ := strings.Cut(rest, " ")
	switch verb {
	case "SET":
		c.values[name] = value
	case "PREPARE":
		c.prepared[name] = value
	case "RESET":
		clear(c.values)
		clear(c.prepared)
	case "EXECUTE":
		shape, found := c.prepared[name]
		if !found {
			return refused("NOSTMT")
		}
		kind, _, _ := strings.Cut(shape, " ")
		return c.data(kind, value, Run{ID: id, Text: text, Shape: shape})
	case "FETCH", "STORE":
		return c.data(verb, rest, Run{ID: id, Text: text})
	case "BEGIN":
		return c.begin(rest == "FETCH")
	case "COMMIT":
		return c.commit(id)
	case "ROLLBACK":
		c.endTx()
	case "STATUS", "RESUME":
		return m.order(verb, 0)
	case "PAUSE", "STEPDOWN":
		term, err := number(rest)
		if err != nil {
			return refused("MALFORMED")
		}
		return m.order(verb, term)
	default:
		return refused("MALFORMED")
	}
	return reply{signature: "-"}
}

// holds reports whether the member's log holds a position, written TERM.NUMBER.
func (m *Member) holds(position string) (bool, error) {
	at, err := ParsePlace(position)
	if err != nil {
		return false, err
	}
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	m.receive()
	return m.has(at.Term, at.Number), nil
}

func (c *conn) endTx() {
	c.inTx, c.readOnly, c.failed, c.pending, c.tx = false, false, false, nil, 0
}

func (c *conn) begin(readOnly bool) reply {
	c.member.group.mu.Lock()
	defer c.member.group.mu.Unlock()
	if !readOnly && !c.member.primary {
		return refused("READONLY")
	}
	c.inTx, c.readOnly = true, readOnly
	c.member.group.nextTx++
	c.tx = c.member.group.nextTx
	return reply{signature: "-"}
}

// lostLead reports whether a plain transaction's member no longer leads.
func (c *conn) lostLead() bool { return c.inTx && !c.readOnly && !c.member.primary }

// record keeps what ran, with the state that it ran in. It is called with the
// group's lock held.
func (c *conn) record(run Run) {
	run.Member, run.Position, run.Tx = c.member.ID, c.member.position(), c.tx
	run.Team, run.At = c.team, time.Now()
	for _, name := range slices.Sorted(maps.Keys(c.values)) {
		run.Values += name + "=" + c.values[name] + " "
	}
	c.member.group.runs = append(c.member.group.runs, run)
}

// data runs a read or a write.
func (c *conn) data(verb, args string, run Run) reply {
	id := run.ID
	m := c.member
	if m.refuse.Load() > 0 {
		m.refuse.Add(-1)
		return refused("BUSY")
	}
	m.work()
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	m.receive()
	if c.lostLead() || (verb == "STORE" && !m.primary) {
		c.failed = c.inTx
		return refused("READONLY")
	}
	item, value, _ := strings.Cut(args, " ")
	if verb == "FETCH" {
		run.Row = m.lookup(item)
	}
	c.record(run)
	if verb == "FETCH" {
		return reply{rows: []string{run.Row}, signature: "sig-" + m.ID + "-" + id}
	}
	w := write{id: id, item: item, data: value}
	if c.inTx {
		c.pending = append(c.pending, w)
	} else {
		m.keep([]write{w})
	}
	return reply{signature: "sig-" + m.ID + "-" + id}
}

func (c *conn) commit(id string) reply {
	m := c.member
	m.work()
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	defer c.endTx()
	c.record(Run{ID: id, Text: "COMMIT"})
	if c.failed || !c.inTx {
		return refused("ABORTED")
	}
	if len(c.pending) > 0 {
		if !m.primary {
			return refused("READONLY")
		}
		m.keep(c.pending)
	}
	return reply{signature: "sig-" + m.ID + "-" + id}
}

// keep appends a commit to the primary's log.
func (m *Member) keep(writes []write) {
	at := Place{Term: m.term, Number: uint64(len(m.log) + 1)}
	m.log = append(m.log, entry{term: at.Term, number: at.Number, at: time.Now(), writes: writes})
	for _, w := range writes {
		m.group.committed[w.id]++
		m.group.commits[w.id] = at
	}
}

// order carries out a status request or an order.
func (m *Member) order(verb string, term uint64) reply {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	m.receive()
	switch {
	case verb == "PAUSE" && term > m.term:
		m.held = term
	case verb == "RESUME":
		m.held = 0
	case verb == "STEPDOWN" && term > m.term:
		m.primary = false
		go m.announce()
	}
	role := "replica"
	if m.primary {
		role = "primary"
	}
	row := strings.Join([]string{
		role, strconv.FormatUint(m.term, 10), m.position(), strconv.FormatUint(m.held, 10), "0",
		strconv.Itoa(len(m.slots)), strconv.Itoa(len(m.conns)),
	}, " ")
	return reply{rows: []string{row}, signature: "-"}
}
