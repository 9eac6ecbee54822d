package entry_test

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/node/entry"
)

// refusingDialer refuses connections to one address.
type refusingDialer struct{ refused atomic.Pointer[string] }

func (c *refusingDialer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if refused := c.refused.Load(); refused != nil && *refused == address {
		return nil, &net.OpError{Op: "dial", Net: network, Err: syscall.ECONNREFUSED}
	}
	return entry.Dial(ctx, network, address)
}

// TestWritesAreForwardedWhenPrimaryIsUnreachable: one host of three cannot reach the
// primary. The primary is not replaced, and the host's callers are still served.
func TestWritesAreForwardedWhenPrimaryIsUnreachable(t *testing.T) {
	d := deploy(t, 2, options())
	var dialer refusingDialer
	address := d.group.Primary().AdvertisedAddress()
	dialer.refused.Store(&address)
	d.dial = dialer.dial
	d.addHost()
	for _, h := range d.hosts {
		require.Eventually(t, func() bool { return h.KnownHosts() == 3 }, waitLimit, pollInterval)
	}
	d.awaitLock()
	primary := d.group.Primary()
	for _, database := range []string{"strict", "own", "bounded"} {
		c := d.connect(2, database)
		if database != "bounded" {
			c.awaitWrite("item")
		}
		for range 10 {
			res := c.do("FETCH item")
			if database != "bounded" {
				require.Empty(t, res.code, res.detail)
			}
		}
	}
	c := d.connect(2, "strict")
	for range 20 {
		c.must("STORE item y")
		c.must("BEGIN")
		require.Equal(t, []string{"y"}, c.must("FETCH item").rows)
		w := c.must("STORE item z")
		c.must("COMMIT")
		require.Equal(t, 1, d.group.CommitCount(w.id))
	}
	require.Equal(t, primary.ID, d.group.Primary().ID, "the other hosts reach the primary")
}
