// Package netem emulates network latency and partitions between availability
// zones, for processes on one machine. It wraps outgoing connections; listeners
// need no change.
package netem

import (
	"context"
	"net"
	"sync"
	"time"
)

// Network holds the latencies and partitions between endpoints. An endpoint is a
// zone or a listener's address. It is safe for concurrent use.
type Network struct {
	mu         sync.RWMutex
	regions    map[string]string
	latency    Latency
	partitions map[endpointPair]bool
	changed    chan struct{}
	zoneOf     map[string]string
}

// Latency holds the one-way delays within a zone, between zones of a region and
// between regions.
type Latency struct {
	InZone      time.Duration
	InterZone   time.Duration
	InterRegion time.Duration
}

type endpointPair struct{ a, b string }

// New returns a network; regions maps each zone to its region.
func New(regions map[string]string, latency Latency) *Network {
	return &Network{
		regions:    regions,
		latency:    latency,
		partitions: make(map[endpointPair]bool),
		changed:    make(chan struct{}),
		zoneOf:     make(map[string]string),
	}
}

// SetZone assigns the listener at addr to a zone.
func (n *Network) SetZone(addr, zone string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.zoneOf[addr] = zone
}

// Partition blocks all traffic between two endpoints, in both directions.
func (n *Network) Partition(a, b string) { n.setPartition(a, b, true) }

// Heal ends a partition between two endpoints.
func (n *Network) Heal(a, b string) { n.setPartition(a, b, false) }

func (n *Network) setPartition(a, b string, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if on {
		n.partitions[endpointPair{a, b}], n.partitions[endpointPair{b, a}] = true, true
	} else {
		delete(n.partitions, endpointPair{a, b})
		delete(n.partitions, endpointPair{b, a})
	}
	close(n.changed)
	n.changed = make(chan struct{})
}

// Isolate starts or ends a partition between a zone and every other zone.
func (n *Network) Isolate(zone string, on bool) {
	for other := range n.regions {
		if other != zone {
			n.setPartition(zone, other, on)
		}
	}
}

// Reachable reports whether traffic passes between two endpoints.
func (n *Network) Reachable(a, b string) bool {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.reachable(a, b)
}

// reachable needs mu held.
func (n *Network) reachable(a, b string) bool {
	za, zb := n.zoneOrAddress(a), n.zoneOrAddress(b)
	return !n.partitions[endpointPair{a, b}] && !n.partitions[endpointPair{za, zb}] && !n.partitions[endpointPair{a, zb}] && !n.partitions[endpointPair{za, b}]
}

func (n *Network) zoneOrAddress(addr string) string {
	if zone, found := n.zoneOf[addr]; found {
		return zone
	}
	return addr
}

// Delay returns the one-way latency between two endpoints.
func (n *Network) Delay(a, b string) time.Duration {
	n.mu.RLock()
	defer n.mu.RUnlock()
	za, zb := n.zoneOrAddress(a), n.zoneOrAddress(b)
	switch {
	case za == zb:
		return n.latency.InZone
	case n.regions[za] == n.regions[zb]:
		return n.latency.InterZone
	default:
		return n.latency.InterRegion
	}
}

// waitReachable blocks until traffic passes between a and b or the context ends.
func (n *Network) waitReachable(ctx context.Context, a, b string) error {
	for {
		n.mu.RLock()
		reachable, changed := n.reachable(a, b), n.changed
		n.mu.RUnlock()
		if reachable {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Dialer opens connections from one endpoint.
type Dialer struct {
	Network *Network
	// From is a zone or the address of a listener.
	From string
	// ExtraDelay is added to the one-way latency of every path.
	ExtraDelay time.Duration
}

// DialContext opens a connection to addr with the latency of the path. During a
// partition it blocks, as when SYN packets are dropped.
func (d *Dialer) DialContext(ctx context.Context, network, addr string) (net.Conn, error) {
	if err := d.Network.waitReachable(ctx, d.From, addr); err != nil {
		return nil, &net.OpError{Op: "dial", Net: network, Err: err}
	}
	delay := d.Network.Delay(d.From, addr) + d.ExtraDelay
	if err := sleep(ctx, 2*delay); err != nil {
		return nil, &net.OpError{Op: "dial", Net: network, Err: err}
	}
	var dialer net.Dialer
	c, err := dialer.DialContext(ctx, network, addr)
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
