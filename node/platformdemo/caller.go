package platformdemo

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"strings"
	"time"

	"github.com/dotterelswitch/dotterelswitch/standin/lineplatform"
)

const (
	answerTimeout = 2 * statementTime
	// pause is a caller's rest between operations, and after a refusal.
	pause = 10 * time.Millisecond
)

// promises are the codes that promise that nothing is kept.
var promises = map[string]bool{
	"BUSY": true, "ABORTED": true, "LAGGING": true, "READONLY": true, "MISROUTED": true, "TOOMANY": true,
}

// answer is what one statement got.
type answer struct {
	id, code string
	rows     []string
}

// conversation is one session of a caller.
type conversation struct {
	net  net.Conn
	r    *bufio.Reader
	name string
	next int
}

// runCaller writes items of its own and reads them back until the run ends.
func runCaller(ctx context.Context, n int, address string, group *lineplatform.Group, report *Report) {
	database := []string{"submissions", "alerts"}[n%2]
	for session := 0; ctx.Err() == nil; session++ {
		c, err := open(address, database, fmt.Sprintf("c%d-%d", n, session))
		if err != nil {
			report.add(&report.Reconnects)
			time.Sleep(pause)
			continue
		}
		for ctx.Err() == nil && c.operate(group, report) {
			time.Sleep(pause)
		}
		_ = c.net.Close()
	}
}

func open(address, database, name string) (*conversation, error) {
	nc, err := net.DialTimeout("tcp", address, answerTimeout)
	if err != nil {
		return nil, err
	}
	c := &conversation{net: nc, r: bufio.NewReader(nc), name: name}
	if _, err := fmt.Fprintf(nc, "START %s %s\r\n", database, name); err != nil {
		return nil, err
	}
	line, err := c.line()
	if err == nil && !strings.HasPrefix(line, "READY") {
		err = fmt.Errorf("the login was answered with %q", line)
	}
	if err != nil {
		_ = nc.Close()
		return nil, err
	}
	return c, nil
}

// operate writes one item and reads it; it reports whether the session lives.
func (c *conversation) operate(group *lineplatform.Group, report *Report) bool {
	item := fmt.Sprintf("%s-%d", c.name, c.next)
	w, err := c.run("STORE " + item + " " + item)
	if err != nil {
		return false
	}
	kept := group.Committed(w.id)
	if kept > 1 {
		report.add(&report.Twice)
	}
	if promises[w.code] && kept > 0 {
		report.add(&report.KeptThoughRefused)
	}
	report.count(w.code)
	if w.code != "" {
		return true
	}
	report.wrote(time.Now())
	term := group.Term()
	read, err := c.run("FETCH " + item)
	if err != nil {
		return false
	}
	report.count(read.code)
	// A promotion may roll back what was acknowledged without confirmation.
	if read.code == "" && read.rows[0] != item && group.Term() == term && w.term(group) == term {
		report.add(&report.LostOwnWrite)
	}
	return true
}

// term returns the term in which a write was kept.
func (a answer) term(group *lineplatform.Group) uint64 { return group.Commit(a.id).Term }

// count notes how a statement ended.
func (r *Report) count(code string) {
	switch {
	case code == "":
		r.add(&r.Served)
	case promises[code]:
		r.add(&r.Refused)
	case code == "INDOUBT":
		r.add(&r.InDoubt)
	default:
		r.add(&r.Failed)
	}
}

func (c *conversation) line() (string, error) {
	if err := c.net.SetReadDeadline(time.Now().Add(answerTimeout)); err != nil {
		return "", err
	}
	line, err := c.r.ReadString('\n')
	return strings.TrimRight(line, "\r\n"), err
}

// run sends a statement and reads its answer.
func (c *conversation) run(text string) (answer, error) {
	c.next++
	a := answer{id: fmt.Sprintf("%s-%d", c.name, c.next)}
	if _, err := fmt.Fprintf(c.net, "QUERY %s %s\r\n", a.id, text); err != nil {
		return a, err
	}
	for {
		line, err := c.line()
		if err != nil {
			return a, err
		}
		word, rest, _ := strings.Cut(line, " ")
		switch word {
		case "DATAROW":
			a.rows = append(a.rows, rest)
		case "ERROR":
			a.code, _, _ = strings.Cut(rest, " ")
		case "READY":
			return a, nil
		}
	}
}
