// Package connproxy has what the proxies that disturb single messages share: it accepts
// connections, connects each to the target, and draws from a seeded random source. Package
// faultproxy, which disturbs whole connections, is not built on it.
package connproxy

import (
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Proxy accepts connections for one target. It is safe for concurrent use.
type Proxy struct {
	// Target is the address that connections are forwarded to.
	Target   string
	listener net.Listener

	mu     sync.Mutex
	random *rand.Rand
	conns  map[net.Conn]bool
	closed bool
}

// Listen opens a free loopback address. Serve starts the proxy.
func Listen(target string, seed uint64) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return &Proxy{Target: target, listener: l, random: rand.New(rand.NewPCG(seed, 0)), conns: map[net.Conn]bool{}}, nil
}

// Serve calls serve for each connection, with one to the target, until Close. Both are closed
// once serve returns.
func (p *Proxy) Serve(serve func(client, target net.Conn)) {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.connect(client, serve)
	}
}

func (p *Proxy) connect(client net.Conn, serve func(client, target net.Conn)) {
	target, err := net.Dial("tcp", p.Target)
	if err != nil {
		_ = client.Close()
		return
	}
	defer p.untrack(client, target)
	if p.track(client, target) {
		serve(client, target)
	}
}

// Address returns the address that the proxy listens on.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Close closes the listener and all connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.CloseConnections()
}

// CloseConnections closes all open connections.
func (p *Proxy) CloseConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.Close()
	}
}

// Chance draws whether something with the given probability happens.
func (p *Proxy) Chance(probability float64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.random.Float64() < probability
}

// Delay draws a time up to a limit.
func (p *Proxy) Delay(limit time.Duration) time.Duration {
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

// WriteInPieces writes data in pieces of a size, or whole if that is zero. An error shows at the
// next read of the connection.
func WriteInPieces(w io.Writer, data []byte, size int) {
	if size == 0 {
		size = max(len(data), 1)
	}
	for len(data) > 0 {
		n := min(size, len(data))
		if _, err := w.Write(data[:n]); err != nil {
			return
		}
		data = data[n:]
	}
}
