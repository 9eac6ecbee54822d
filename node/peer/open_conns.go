package peer

import (
	"context"
	"net"
	"sync"
)

// dialFunc opens a connection.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// openConns tracks open connections by their dialled address, so that all
// connections to one host can be closed. It is safe for concurrent use. No other
// lock is acquired while its lock is held.
type openConns struct {
	mu        sync.Mutex
	byAddress map[string]map[*trackedConn]struct{}
}

func newOpenConns() *openConns {
	return &openConns{byAddress: map[string]map[*trackedConn]struct{}{}}
}

// trackedConn is a connection that is untracked when it is closed.
type trackedConn struct {
	net.Conn
	address string
	conns   *openConns
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.conns.remove(c)
	return c.Conn.Close()
}

// track returns a dial function whose connections are tracked until they are
// closed.
func (o *openConns) track(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		tracked := &trackedConn{Conn: conn, address: address, conns: o}
		o.add(tracked)
		return tracked, nil
	}
}

func (o *openConns) add(c *trackedConn) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.byAddress[c.address] == nil {
		o.byAddress[c.address] = map[*trackedConn]struct{}{}
	}
	o.byAddress[c.address][c] = struct{}{}
}

func (o *openConns) remove(c *trackedConn) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.byAddress[c.address], c)
	if len(o.byAddress[c.address]) == 0 {
		delete(o.byAddress, c.address)
	}
}

// closeAll closes all connections to an address.
func (o *openConns) closeAll(address string) {
	o.mu.Lock()
	conns := make([]*trackedConn, 0, len(o.byAddress[address]))
	for c := range o.byAddress[address] {
		conns = append(conns, c)
	}
	o.mu.Unlock()
	for _, c := range conns {
		// Users of the connection see it closed; an error needs no handling.
		_ = c.Close()
	}
}
