// Package responseproxy is a proxy in front of an HTTP/1.1 server. It sends responses a
// second time on the same connection, or late, as a faulty intermediary does.
package responseproxy

import (
	"bufio"
	"bytes"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Fault tells how responses are disturbed. The zero value disturbs nothing.
type Fault struct {
	// Repeat is the share of responses that are sent a second time, up to MaxDelay later.
	Repeat   float64
	MaxDelay time.Duration
	// AfterNextRequest sends the second time when the next request on the connection has
	// arrived, before its response, in place of a delay.
	AfterNextRequest bool
	// Latency delays each response.
	Latency time.Duration
}

// Proxy forwards connections to one server.
type Proxy struct {
	target      string
	listener    net.Listener
	fault       atomic.Pointer[Fault]
	connections atomic.Int64
	requests    atomic.Int64
	repeated    atomic.Int64

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

// Connections returns how many connections were accepted.
func (p *Proxy) Connections() int { return int(p.connections.Load()) }

// Requests returns how many requests were forwarded.
func (p *Proxy) Requests() int { return int(p.requests.Load()) }

// Repeated returns how many responses were to be sent a second time.
func (p *Proxy) Repeated() int { return int(p.repeated.Load()) }

// Close closes the listener and all connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
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
		p.connections.Add(1)
		go p.serve(client)
	}
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
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = client.Close()
		return
	}
	defer p.untrack(client, server)
	if !p.track(client, server) {
		return
	}
	c := &pair{proxy: p, client: client, server: server}
	c.forward()
}

// draw returns whether a response is repeated, and how much later.
func (p *Proxy) draw(f *Fault) (bool, time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.random.Float64() < f.Repeat, time.Duration(p.random.Float64() * float64(f.MaxDelay))
}

// pair is a client's connection with its connection to the server.
type pair struct {
	proxy          *Proxy
	client, server net.Conn
	// held is the response that is repeated after the next request; nil for none.
	held []byte
	// mu keeps responses whole.
	mu sync.Mutex
}

// forward forwards requests and their responses one by one until a side closes its
// connection.
func (c *pair) forward() {
	requests, responses := bufio.NewReader(c.client), bufio.NewReader(c.server)
	for {
		req, err := http.ReadRequest(requests)
		if err != nil {
			return
		}
		c.proxy.requests.Add(1)
		c.send(c.held)
		c.held = nil
		if err := req.Write(c.server); err != nil {
			return
		}
		response, err := readResponse(responses, req)
		if err != nil {
			return
		}
		f := c.proxy.fault.Load()
		time.Sleep(f.Latency)
		c.send(response)
		c.repeat(response, f)
	}
}

// readResponse returns a whole response as it is sent to the client.
func readResponse(r *bufio.Reader, req *http.Request) ([]byte, error) {
	resp, err := http.ReadResponse(r, req)
	if err != nil {
		return nil, err
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, err
	}
	resp.Body, resp.ContentLength, resp.TransferEncoding = io.NopCloser(bytes.NewReader(body)), int64(len(body)), nil
	var out bytes.Buffer
	err = resp.Write(&out)
	return out.Bytes(), err
}

// repeat sends some responses a second time, later.
func (c *pair) repeat(response []byte, f *Fault) {
	repeated, delay := c.proxy.draw(f)
	switch {
	case !repeated:
		return
	case f.AfterNextRequest:
		c.held = response
	case delay == 0:
		c.send(response)
	default:
		time.AfterFunc(delay, func() { c.send(response) })
	}
	c.proxy.repeated.Add(1)
}

// send writes to the client. An error shows at the next read.
func (c *pair) send(data []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, _ = c.client.Write(data)
}
