// Package pgproxy is a proxy in front of a PostgreSQL member. It disturbs the member's
// answers as a member that stutters does; package answerproxy does so for the members of the
// users' platform.
package pgproxy

import (
	"bufio"
	"encoding/binary"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
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
	target   string
	listener net.Listener
	fault    atomic.Pointer[Fault]
	repeated atomic.Int64

	mu     sync.Mutex
	random *rand.Rand
	conns  map[net.Conn]bool
	closed bool
}

// New starts a proxy on a free loopback address.
func New(target string, seed uint64) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{target: target, listener: l, random: rand.New(rand.NewPCG(seed, 0)), conns: map[net.Conn]bool{}}
	p.fault.Store(&Fault{})
	go p.accept()
	return p, nil
}

// Address returns the address that the proxy listens on.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SetFault replaces the current fault.
func (p *Proxy) SetFault(f Fault) { p.fault.Store(&f) }

// Repeated returns how many answers were sent a second time.
func (p *Proxy) Repeated() int { return int(p.repeated.Load()) }

// Close closes the listener and all connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.CloseConnections()
}

// CloseConnections closes all connections, as a member that ends idle ones does.
func (p *Proxy) CloseConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.Close()
	}
}

func (p *Proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(client)
	}
}

func (p *Proxy) chance(probability float64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.random.Float64() < probability
}

func (p *Proxy) delay(limit time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Duration(p.random.Float64() * float64(limit))
}

// track registers connections that Close closes. It reports false if the proxy is closed.
func (p *Proxy) track(conns ...net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		p.conns[c] = true
	}
	return !p.closed
}

func (p *Proxy) untrack(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
		delete(p.conns, c)
	}
}

func (p *Proxy) serve(client net.Conn) {
	member, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = client.Close()
		return
	}
	defer p.untrack(client, member)
	if !p.track(client, member) {
		return
	}
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
	if a.proxy.chance(f.Async) {
		a.send(asynchronous())
	}
	a.send(answer)
	if a.proxy.chance(f.Async) {
		a.sendLater(asynchronous(), f)
	}
	if a.proxy.chance(f.Repeat) {
		a.proxy.repeated.Add(1)
		a.sendLater(answer, f)
	}
}

func (a *answers) sendLater(b []byte, f *Fault) {
	if f.MaxDelay == 0 {
		a.send(b)
		return
	}
	time.AfterFunc(a.proxy.delay(f.MaxDelay), func() { a.send(b) })
}

// send writes messages to the client. An error shows at the next read.
func (a *answers) send(b []byte) {
	a.mu.Lock()
	defer a.mu.Unlock()
	size := a.proxy.fault.Load().ChunkBytes
	if size == 0 {
		size = max(len(b), 1)
	}
	for len(b) > 0 {
		n := min(size, len(b))
		if _, err := a.client.Write(b[:n]); err != nil {
			return
		}
		b = b[n:]
	}
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
