// Package faultproxy is a TCP proxy that injects network faults: it delays data,
// holds it back in one or both directions, resets connections, or drops all
// their further data.
package faultproxy

import (
	"net"
	"sync"
	"time"
)

// Fault is the fault applied to all connections of a proxy until the next
// SetFault.
type Fault struct {
	// Delay is added to each forwarded chunk, in both directions.
	Delay time.Duration
	// HoldToTarget and HoldToClient hold back the data of one direction until
	// the fault ends, as a partition does.
	HoldToTarget, HoldToClient bool
}

// Proxy forwards connections from one listening address to one target. It is
// safe for concurrent use.
type Proxy struct {
	target   string
	listener net.Listener

	// mu guards the fields below.
	mu    sync.Mutex
	fault Fault
	// changed is closed and replaced when the fault changes.
	changed   chan struct{}
	connPairs map[*connPair]bool
	closed    bool
}

// connPair is a client connection with its connection to the target.
type connPair struct {
	client, target net.Conn
	// blackholed is closed once the pair drops all further data.
	blackholed chan struct{}
	once       sync.Once
}

func (c *connPair) blackhole() { c.once.Do(func() { close(c.blackholed) }) }

func (c *connPair) close() {
	_ = c.client.Close()
	_ = c.target.Close()
}

// New starts a proxy on a free loopback address.
func New(target string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{target: target, listener: l, changed: make(chan struct{}), connPairs: map[*connPair]bool{}}
	go p.accept()
	return p, nil
}

// Address returns the address that the proxy listens on.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SetFault replaces the current fault.
func (p *Proxy) SetFault(f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
	close(p.changed)
	p.changed = make(chan struct{})
}

// ResetConnections resets all open connections.
func (p *Proxy) ResetConnections() {
	for _, pair := range p.openPairs() {
		abort(pair.client)
		abort(pair.target)
	}
}

// BlackholeConnections drops all further data of the open connections. New
// connections are not affected.
func (p *Proxy) BlackholeConnections() {
	for _, pair := range p.openPairs() {
		pair.blackhole()
	}
}

// Close closes the listener and all connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	for _, pair := range p.openPairs() {
		pair.close()
	}
}

func (p *Proxy) openPairs() []*connPair {
	p.mu.Lock()
	defer p.mu.Unlock()
	pairs := make([]*connPair, 0, len(p.connPairs))
	for pair := range p.connPairs {
		pairs = append(pairs, pair)
	}
	return pairs
}

func (p *Proxy) currentFault() (Fault, chan struct{}) {
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
	pair := &connPair{client: client, target: target, blackholed: make(chan struct{})}
	p.mu.Lock()
	p.connPairs[pair] = true
	closed := p.closed
	p.mu.Unlock()
	if closed {
		pair.close()
	}
	done := make(chan struct{}, 2)
	go p.forward(pair, client, target, func(f Fault) bool { return f.HoldToTarget }, done)
	go p.forward(pair, target, client, func(f Fault) bool { return f.HoldToClient }, done)
	<-done
	pair.close()
	<-done
	p.mu.Lock()
	delete(p.connPairs, pair)
	p.mu.Unlock()
}

// bufferBytes limits the size of a forwarded chunk.
const bufferBytes = 16 << 10

// forward copies one direction until either side is closed.
func (p *Proxy) forward(pair *connPair, from, to net.Conn, isHeld func(Fault) bool, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buf := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buf)
		if err != nil {
			p.delayClose(pair)
			return
		}
		if !p.awaitForwarding(pair, isHeld) {
			continue
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

// delayClose delays the close of a blackholed connection's other side, since a
// network that drops data also drops the FIN.
func (p *Proxy) delayClose(pair *connPair) {
	select {
	case <-pair.blackholed:
		time.Sleep(blackholeCloseDelay)
	default:
	}
}

// blackholeCloseDelay is how long a blackholed connection stays open after one
// side closes it. The platform's members close unreachable connections after 3 s.
const blackholeCloseDelay = 3 * time.Second

// awaitForwarding waits until the current fault lets data pass. It reports false
// if the data is dropped.
func (p *Proxy) awaitForwarding(pair *connPair, isHeld func(Fault) bool) bool {
	for {
		f, changed := p.currentFault()
		select {
		case <-pair.blackholed:
			return false
		default:
		}
		if !isHeld(f) {
			time.Sleep(f.Delay)
			return true
		}
		select {
		case <-changed:
		case <-pair.blackholed:
		}
	}
}

// abort closes a connection with a reset.
func abort(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		// On error the connection is closed with FIN instead of RST.
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}
