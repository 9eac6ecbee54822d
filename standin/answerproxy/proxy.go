// Package answerproxy is a proxy in front of a member of the users' platform. It disturbs
// the member's answers as a member that stutters does, and records what passes.
package answerproxy

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dotterelswitch/dotterelswitch/standin/connproxy"
	"github.com/dotterelswitch/dotterelswitch/standin/crlf"
)

// Fault tells how answers are disturbed. The zero value disturbs nothing.
type Fault struct {
	// Repeat is the share of answers that are sent a second time, up to MaxDelay later.
	// Logins count as well.
	Repeat   float64
	MaxDelay time.Duration
	// Refuse is the share of reads and writes outside transactions that are refused with
	// BUSY and do not reach the member. RepeatRefusals sends each refusal a second time.
	Refuse         float64
	RepeatRefusals bool
	// RefuseAll refuses the same share of prepared statements, begins and STATUS.
	RefuseAll bool
	// Forge is the share of rows that are replaced by ForgedRow.
	Forge     float64
	ForgedRow string
	// ChunkBytes cuts all answers into pieces of this size; zero sends them whole.
	ChunkBytes int
}

// Proxy forwards connections to one member.
type Proxy struct {
	*connproxy.Proxy
	recorder *Recorder
	fault    atomic.Pointer[Fault]
	// changes serializes the calls of ChangeFault.
	changes sync.Mutex
}

// New starts a proxy on a free loopback address.
func New(target string, recorder *Recorder, seed uint64) (*Proxy, error) {
	base, err := connproxy.Listen(target, seed)
	if err != nil {
		return nil, err
	}
	p := &Proxy{Proxy: base, recorder: recorder}
	p.fault.Store(&Fault{})
	go p.Serve(p.forward)
	return p, nil
}

// SetFault replaces the current fault.
func (p *Proxy) SetFault(f Fault) { p.fault.Store(&f) }

// ChangeFault changes a part of the current fault.
func (p *Proxy) ChangeFault(change func(*Fault)) {
	p.changes.Lock()
	defer p.changes.Unlock()
	f := *p.fault.Load()
	change(&f)
	p.fault.Store(&f)
}

func (p *Proxy) forward(client, member net.Conn) {
	pair := &pair{proxy: p, client: client, member: member, idle: true, position: "-"}
	done := make(chan struct{})
	go func() {
		defer close(done)
		pair.forwardAnswers()
		_ = client.Close()
	}()
	pair.forwardStatements()
	_ = member.Close()
	<-done
}

// pair is a host's connection with its connection to the member.
type pair struct {
	proxy          *Proxy
	client, member net.Conn

	// mu keeps answers whole and guards the fields below.
	mu sync.Mutex
	// pending holds the IDs of the statements that the member has not answered.
	pending []string
	// idle is set while no transaction is open.
	idle     bool
	position string
}

// forwardStatements forwards the host's messages, except those that are refused.
func (c *pair) forwardStatements() {
	r := crlf.NewReader(c.client)
	for {
		message, err := r.Read()
		if err != nil {
			return
		}
		word, _, _ := strings.Cut(message, " ")
		id, text, isStatement := parseStatement(message)
		if isStatement && c.refuse(text) {
			continue
		}
		if word != "TERMINATE" {
			c.mu.Lock()
			c.pending = append(c.pending, id)
			c.mu.Unlock()
		}
		if id != "-" && word != "START" && word != "TERMINATE" {
			c.proxy.recorder.message(Message{Member: c.proxy.Target, ID: id, Text: text})
		}
		if _, err := c.member.Write([]byte(message + crlf.End)); err != nil {
			return
		}
	}
}

// refuse answers a statement with BUSY in place of the member, and reports whether it did.
func (c *pair) refuse(text string) bool {
	f := c.proxy.fault.Load()
	word, _, _ := strings.Cut(text, " ")
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.idle || len(c.pending) > 0 || !f.refuses(word) || !c.proxy.Chance(f.Refuse) {
		return false
	}
	answer := fmt.Sprintf("ERROR BUSY refused%sREADY I %s%s", crlf.End, c.position, crlf.End)
	c.send(answer, f)
	if f.RepeatRefusals {
		c.repeat(answer, f)
	}
	return true
}

// refuses reports whether statements that begin with a word may be refused.
func (f *Fault) refuses(word string) bool {
	switch word {
	case "FETCH", "STORE":
		return true
	case "EXECUTE", "BEGIN", "STATUS":
		return f.RefuseAll
	}
	return false
}

// forwardAnswers forwards the member's answers one by one.
func (c *pair) forwardAnswers() {
	r := crlf.NewReader(c.member)
	var a Answer
	var answer strings.Builder
	loggedIn := false
	for {
		message, err := r.Read()
		if err != nil {
			return
		}
		f := c.proxy.fault.Load()
		word, rest, _ := strings.Cut(message, " ")
		switch word {
		case "DATAROW":
			if c.callerWaits() && c.proxy.Chance(f.Forge) {
				rest = f.ForgedRow
			}
			message = "DATAROW " + rest
			a.Rows = append(a.Rows, rest)
		case "COMPLETE":
			a.Signature = rest
		}
		answer.WriteString(message + crlf.End)
		// A login that is refused is answered with ERROR alone.
		if word == "READY" || !loggedIn {
			loggedIn = true
			c.forwardAnswer(answer.String(), rest, a, f)
			a = Answer{}
			answer.Reset()
		}
	}
}

// callerWaits reports whether the next answer is to a statement of a caller.
func (c *pair) callerWaits() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pending) > 0 && c.pending[0] != "-" && c.pending[0] != ""
}

func (c *pair) forwardAnswer(answer, ready string, a Answer, f *Fault) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.pending) > 0 {
		if a.Signature != "" && a.Signature != "-" {
			c.proxy.recorder.answer(c.pending[0], a)
		}
		c.pending = c.pending[1:]
	}
	state, position, _ := strings.Cut(ready, " ")
	c.idle, c.position = state == "I", position
	c.send(answer, f)
	if c.proxy.Chance(f.Repeat) {
		c.repeat(answer, f)
	}
}

// repeat sends an answer a second time, later. mu must be held.
func (c *pair) repeat(answer string, f *Fault) {
	c.proxy.recorder.repeat()
	time.AfterFunc(c.proxy.Delay(f.MaxDelay), func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.send(answer, f)
	})
}

// send writes an answer to the host. mu must be held.
func (c *pair) send(answer string, f *Fault) {
	connproxy.WriteInPieces(c.client, []byte(answer), f.ChunkBytes)
}
