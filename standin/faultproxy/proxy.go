// Package faultproxy passes TCP connections on to a target and harms them as a
// network does: it delays them, holds them up one way or both, resets them, or
// lets them go silent for good.
package faultproxy

import (
	"net"
	"sync"
	"time"
)

// Fault is what a proxy does to its connections until it is told otherwise.
type Fault struct {
	// Delay is added to each piece of data, either way.
	Delay time.Duration
	// HoldToTarget and HoldToClient keep data back, one way each, until the
	// fault ends, as a partition does.
	HoldToTarget, HoldToClient bool
}

// Proxy is one listening address in front of one target. It is safe for
// concurrent use.
type Proxy struct {
	target   string
	listener net.Listener

	// mu guards the fields below.
	mu    sync.Mutex
	fault Fault
	// changed is closed and replaced when the fault changes.
	changed chan struct{}
	links   map[*link]bool
	closed  bool
}

// link is one connection with its counterpart at the target.
type link struct {
	client, target net.Conn
	// silent is closed when the link passes nothing more, for good.
	silent chan struct{}
	once   sync.Once
}

func (l *link) silence() { l.once.Do(func() { close(l.silent) }) }

func (l *link) close() {
	_ = l.client.Close()
	_ = l.target.Close()
}

// New starts a proxy on a loopback address of its own.
func New(target string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{target: target, listener: l, changed: make(chan struct{}), links: map[*link]bool{}}
	go p.accept()
	return p, nil
}

// Address returns where the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Set changes the fault.
func (p *Proxy) Set(f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
	close(p.changed)
	p.changed = make(chan struct{})
}

// Reset resets all connections that are open now.
func (p *Proxy) Reset() {
	for _, l := range p.open() {
		abort(l.client)
		abort(l.target)
	}
}

// Silence makes all connections that are open now pass nothing more. New ones
// work.
func (p *Proxy) Silence() {
	for _, l := range p.open() {
		l.silence()
	}
}

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	for _, l := range p.open() {
		l.close()
	}
}

func (p *Proxy) open() []*link {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]*link, 0, len(p.links))
	for l := range p.links {
		out = append(out, l)
	}
	return out
}

func (p *Proxy) state() (Fault, chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault, p.changed
}

func (p *Proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.connect(client)
	}
}

func (p *Proxy) connect(client net.Conn) {
	target, err := net.Dial("tcp", p.target)
	if err != nil {
		abort(client)
		return
	}
	l := &link{client: client, target: target, silent: make(chan struct{})}
	p.mu.Lock()
	p.links[l] = true
	closed := p.closed
	p.mu.Unlock()
	if closed {
		l.close()
	}
	done := make(chan struct{}, 2)
	go p.pass(l, client, target, func(f Fault) bool { return f.HoldToTarget }, done)
	go p.pass(l, target, client, func(f Fault) bool { return f.HoldToClient }, done)
	<-done
	l.close()
	<-done
	p.mu.Lock()
	delete(p.links, l)
	p.mu.Unlock()
}

// pieceSize bounds what is passed on at once.
const pieceSize = 16 << 10

// pass copies one way until either end is gone.
func (p *Proxy) pass(l *link, from, to net.Conn, held func(Fault) bool, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buf := make([]byte, pieceSize)
	for {
		n, err := from.Read(buf)
		if err != nil {
			p.awaitSilence(l)
			return
		}
		if !p.admit(l, held) {
			continue
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

// awaitSilence keeps the end of a connection from its other side while data is
// held up, since a partition holds that up as well.
func (p *Proxy) awaitSilence(l *link) {
	select {
	case <-l.silent:
		time.Sleep(silentFor)
	default:
	}
}

// silentFor is how long a silent connection stays open after one side has
// closed it: the platform's members drop an unreachable end after 3 s.
const silentFor = 3 * time.Second

// admit waits out the fault in force; it reports false for data that is lost.
func (p *Proxy) admit(l *link, held func(Fault) bool) bool {
	for {
		f, changed := p.state()
		select {
		case <-l.silent:
			return false
		default:
		}
		if !held(f) {
			time.Sleep(f.Delay)
			return true
		}
		select {
		case <-changed:
		case <-l.silent:
		}
	}
}

// abort closes a connection with a reset.
func abort(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		// Without it the close is an orderly one; the fault is milder then.
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}
