// Package netem emulates the latency and the partitions of a network between
// availability zones, for processes that share one machine. It wraps the
// connections that a dialler opens; nothing listens here.
package netem

import (
	"context"
	"net"
	"sync"
	"time"
)

// Network holds the latencies and cuts between zones. It is safe for
// concurrent use.
type Network struct {
	mu      sync.RWMutex
	regions map[string]string
	latency Latency
	cuts    map[cut]bool
	changed chan struct{}
	zoneOf  map[string]string
}

// Latency holds one-way delays.
type Latency struct {
	InZone  time.Duration
	InterAZ time.Duration
	Region  time.Duration
}

// cut is a pair of places that cannot reach each other.
type cut struct{ a, b string }

// New returns a network of the given zones and their regions.
func New(regions map[string]string, latency Latency) *Network {
	return &Network{
		regions: regions,
		latency: latency,
		cuts:    make(map[cut]bool),
		changed: make(chan struct{}),
		zoneOf:  make(map[string]string),
	}
}

// Place tells the network in which zone the listener at addr is.
func (n *Network) Place(addr, zone string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.zoneOf[addr] = zone
}

// Cut stops all traffic between two places, in both directions. A place is a
// zone or a listener's address.
func (n *Network) Cut(a, b string) { n.setCut(a, b, true) }

// Heal ends a cut.
func (n *Network) Heal(a, b string) { n.setCut(a, b, false) }

func (n *Network) setCut(a, b string, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if on {
		n.cuts[cut{a, b}], n.cuts[cut{b, a}] = true, true
	} else {
		delete(n.cuts, cut{a, b})
		delete(n.cuts, cut{b, a})
	}
	close(n.changed)
	n.changed = make(chan struct{})
}

// Isolate cuts a zone from every other.
func (n *Network) Isolate(zone string, on bool) {
	for other := range n.regions {
		if other != zone {
			n.setCut(zone, other, on)
		}
	}
}

// Reachable reports whether traffic passes between two zones or addresses.
func (n *Network) Reachable(a, b string) bool {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.reachable(a, b)
}

// reachable needs mu held.
func (n *Network) reachable(a, b string) bool {
	za, zb := n.place(a), n.place(b)
	return !n.cuts[cut{a, b}] && !n.cuts[cut{za, zb}] && !n.cuts[cut{a, zb}] && !n.cuts[cut{za, b}]
}

func (n *Network) place(addr string) string {
	if zone, found := n.zoneOf[addr]; found {
		return zone
	}
	return addr
}

// Delay returns the one-way latency between two zones or addresses.
func (n *Network) Delay(a, b string) time.Duration {
	n.mu.RLock()
	defer n.mu.RUnlock()
	za, zb := n.place(a), n.place(b)
	switch {
	case za == zb:
		return n.latency.InZone
	case n.regions[za] == n.regions[zb]:
		return n.latency.InterAZ
	default:
		return n.latency.Region
	}
}

// wait blocks until traffic passes between a and b or the context ends.
func (n *Network) wait(ctx context.Context, a, b string) error {
	for {
		n.mu.RLock()
		open, changed := n.reachable(a, b), n.changed
		n.mu.RUnlock()
		if open {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Dialer opens connections from one place.
type Dialer struct {
	Network *Network
	// From is the zone, or an address placed in one.
	From string
	// Extra is added to the one-way latency of every path.
	Extra time.Duration
}

// DialContext opens a connection to addr with the latency of the path. While
// the path is cut it blocks, as a dial whose packets are dropped does.
func (d *Dialer) DialContext(ctx context.Context, network, addr string) (net.Conn, error) {
	if err := d.Network.wait(ctx, d.From, addr); err != nil {
		return nil, &net.OpError{Op: "dial", Net: network, Err: err}
	}
	delay := d.Network.Delay(d.From, addr) + d.Extra
	if err := sleep(ctx, 2*delay); err != nil {
		return nil, &net.OpError{Op: "dial", Net: network, Err: err}
	}
	var plain net.Dialer
	c, err := plain.DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return newConn(c, d.Network, d.From, addr, delay), nil
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
