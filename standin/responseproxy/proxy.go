// Package responseproxy is a proxy in front of an HTTP/1.1 server. It sends responses a
// second time on the same connection, or late, as a faulty intermediary does.
package responseproxy

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dotterelswitch/dotterelswitch/standin/connproxy"
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
	*connproxy.Proxy
	fault       atomic.Pointer[Fault]
	connections atomic.Int64
	requests    atomic.Int64
	repeated    atomic.Int64
}

// New starts a proxy on a free loopback address.
func New(target string, seed uint64) (*Proxy, error) {
	base, err := connproxy.Listen(target, seed)
	if err != nil {
		return nil, err
	}
	p := &Proxy{Proxy: base}
	p.fault.Store(&Fault{})
	go p.Serve(func(client, server net.Conn) {
		p.connections.Add(1)
		c := &pair{proxy: p, client: client, server: server}
		c.forward()
	})
	return p, nil
}

// SetFault replaces the current fault.
func (p *Proxy) SetFault(f Fault) { p.fault.Store(&f) }

// Connections returns how many connections were forwarded.
func (p *Proxy) Connections() int { return int(p.connections.Load()) }

// Requests returns how many requests have arrived.
func (p *Proxy) Requests() int { return int(p.requests.Load()) }

// Repeated returns how many responses were sent a second time.
func (p *Proxy) Repeated() int { return int(p.repeated.Load()) }

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
	repeated, delay := c.proxy.Chance(f.Repeat), c.proxy.Delay(f.MaxDelay)
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
