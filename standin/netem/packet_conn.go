package netem

import (
	"net"
	"time"
)

// PacketConn delays outgoing datagrams and drops those to unreachable addresses.
type PacketConn struct {
	net.PacketConn
	Network *Network
	// From is the zone or the address of the sender.
	From string
}

// WriteTo sends a datagram after the latency of its path.
func (c *PacketConn) WriteTo(b []byte, to net.Addr) (int, error) {
	address := to.String()
	if !c.Network.Reachable(c.From, address) {
		return len(b), nil
	}
	data := append([]byte(nil), b...)
	time.AfterFunc(c.Network.Delay(c.From, address), func() { _, _ = c.PacketConn.WriteTo(data, to) })
	return len(b), nil
}
