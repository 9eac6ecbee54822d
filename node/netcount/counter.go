// Package netcount counts the bytes that a host sends and receives on its control
// connections.
package netcount

import (
	"context"
	"net"
	"sync/atomic"
)

// DialFunc opens a network connection.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// Counter counts the bytes of all connections of the dialers it wraps.
type Counter struct {
	sent, received atomic.Int64
}

// Total returns the sum of the bytes sent and received.
func (c *Counter) Total() int64 { return c.sent.Load() + c.received.Load() }

// WrapDialer returns a dialer whose connections are counted.
func (c *Counter) WrapDialer(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &countingConn{Conn: conn, counter: c}, nil
	}
}

type countingConn struct {
	net.Conn
	counter *Counter
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.counter.received.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.counter.sent.Add(int64(n))
	return n, err
}
