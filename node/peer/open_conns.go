package peer

import (
	"context"
	"net"
	"sync"
)

// dialFunc opens a connection.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// openConns knows the connections that stand by the address that was dialled, so
// that all to one host can be closed. It is safe for concurrent use; its lock is
// a leaf.
type openConns struct {
	mu        sync.Mutex
	byAddress map[string]map[*trackedConn]struct{}
}

func newOpenConns() *openConns {
	return &openConns{byAddress: map[string]map[*trackedConn]struct{}{}}
}

// trackedConn is a connection that is forgotten when it is closed.
type trackedConn struct {
	net.Conn
	address string
	open    *openConns
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.open.forget(c)
	return c.Conn.Close()
}

// tracking returns a dial function whose connections are known until they are
// closed.
func (o *openConns) tracking(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		tracked := &trackedConn{Conn: conn, address: address, open: o}
		o.remember(tracked)
		return tracked, nil
	}
}

func (o *openConns) remember(c *trackedConn) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.byAddress[c.address] == nil {
		o.byAddress[c.address] = map[*trackedConn]struct{}{}
	}
	o.byAddress[c.address][c] = struct{}{}
}

func (o *openConns) forget(c *trackedConn) {
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
		// Its user finds it closed; a failure to close leaves nothing to do.
		_ = c.Close()
	}
}
