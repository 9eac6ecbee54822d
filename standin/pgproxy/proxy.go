// Package pgproxy is a proxy in front of a PostgreSQL member. It disturbs the member's
// answers as a member that stutters does; package answerproxy does so for the members of the
// users' platform.
package pgproxy

import (
	"bufio"
	"encoding/binary"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/dotterelswitch/dotterelswitch/standin/connproxy"
)

// Fault tells how answers are disturbed. The zero value disturbs nothing.
type Fault struct {
	// Repeat is the share of answers, up to ReadyForQuery, that are sent a second time, up
	// to MaxDelay later. Logins count as well.
	Repeat   float64
	MaxDelay time.Duration
	// Async is the share of answers that asynchronous messages precede, and the share that
	// they follow, up to MaxDelay later.
	Async float64
	// ChunkBytes cuts all answers into pieces of this size; zero sends them whole.
	ChunkBytes int
}

// Proxy forwards connections to one member.
type Proxy struct {
	*connproxy.Proxy
	fault    atomic.Pointer[Fault]
	repeated atomic.Int64
}

// New starts a proxy on a free loopback address.
func New(target string, seed uint64) (*Proxy, error) {
	base, err := connproxy.Listen(target, seed)
	if err != nil {
		return nil, err
	}
	p := &Proxy{Proxy: base}
	p.fault.Store(&Fault{})
	go p.Serve(p.forward)
	return p, nil
}

// SetFault replaces the current fault.
func (p *Proxy) SetFault(f Fault) { p.fault.Store(&f) }

// Repeated returns how many answers were sent a second time.
func (p *Proxy) Repeated() int { return int(p.repeated.Load()) }

func (p *Proxy) forward(client, member net.Conn) {
	go func() {
		_, _ = io.Copy(member, client)
		_ = member.Close()
	}()
	a := &answers{proxy: p, client: client}
	a.forward(bufio.NewReader(member))
}

// answers forwards the answers on one connection. Clients must not ask for TLS, whose
// negotiation has no messages.
type answers struct {
	proxy  *Proxy
	client net.Conn
	// mu keeps messages whole.
	mu sync.Mutex
}

const headerSize = 5

func (a *answers) forward(r *bufio.Reader) {
	var answer []byte
	for {
		header, err := r.Peek(headerSize)
		if err != nil {
			a.send(answer)
			return
		}
		kind, start := header[0], len(answer)
		answer = append(answer, make([]byte, 1+int(binary.BigEndian.Uint32(header[1:])))...)
		if _, err := io.ReadFull(r, answer[start:]); err != nil {
			return
		}
		if kind == 'Z' {
			a.disturb(answer)
			answer = nil
		}
	}
}

// disturb sends an answer with what the fault adds to it.
func (a *answers) disturb(answer []byte) {
	f := a.proxy.fault.Load()
	if a.proxy.Chance(f.Async) {
		a.send(asynchronous())
	}
	a.send(answer)
	if a.proxy.Chance(f.Async) {
		a.sendLater(asynchronous(), f)
	}
	if a.proxy.Chance(f.Repeat) {
		a.proxy.repeated.Add(1)
		a.sendLater(answer, f)
	}
}

func (a *answers) sendLater(b []byte, f *Fault) {
	if f.MaxDelay == 0 {
		a.send(b)
		return
	}
	time.AfterFunc(a.proxy.Delay(f.MaxDelay), func() { a.send(b) })
}

// send writes messages to the client. An error shows at the next read.
func (a *answers) send(b []byte) {
	a.mu.Lock()
	defer a.mu.Unlock()
	connproxy.WriteInPieces(a.client, b, a.proxy.fault.Load().ChunkBytes)
}

// asynchronous returns messages that a member may send at any moment.
func asynchronous() []byte {
	var out []byte
	for _, m := range []pgproto3.BackendMessage{
		&pgproto3.NoticeResponse{Severity: "NOTICE", Code: "00000", Message: "asynchronous"},
		&pgproto3.ParameterStatus{Name: "TimeZone", Value: "UTC"},
		&pgproto3.NotificationResponse{PID: 1, Channel: "c", Payload: "p"},
	} {
		if next, err := m.Encode(out); err == nil {
			out = next
		}
	}
	return out
}
