// Package netcount counts the bytes of a host's own connections by purpose, so
// that the cost of control can be held against its budget.
package netcount

import (
	"context"
	"net"
	"sync/atomic"
)

// Dial opens a network connection.
type Dial func(ctx context.Context, network, addr string) (net.Conn, error)

// Counter sums the bytes of the connections that one dialler opened.
type Counter struct {
	sent, received atomic.Int64
}

// Total returns the bytes sent and received.
func (c *Counter) Total() int64 { return c.sent.Load() + c.received.Load() }

// Wrap returns a dialler whose connections are counted.
func (c *Counter) Wrap(dial Dial) Dial {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: conn, counter: c}, nil
	}
}

// countedConn counts what passes through a connection.
type countedConn struct {
	net.Conn
	counter *Counter
}

func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.counter.received.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.counter.sent.Add(int64(n))
	return n, err
}
