package gossip

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/membership"
)

func listen(t *testing.T) net.PacketConn {
	t.Helper()
	c, err := net.ListenPacket("udp", "127.0.0.1:0")
	require.NoError(t, err)
	return c
}

func TestProbeAndAnswer(t *testing.T) {
	a, b := listen(t), listen(t)
	echo := func(m Message) Message {
		return Message{Self: membership.Host{ID: "b", Incarnation: 2}, Rumours: m.Rumours, ConfigVersion: 7}
	}
	ta, tb := NewTransport(a, "key", echo), NewTransport(b, "key", echo)
	defer ta.Close()
	defer tb.Close()
	rumours := []membership.Host{{ID: "c", Zone: "z", Peer: "127.0.0.1:1", Incarnation: 3, State: membership.Leaving}}
	got, err := ta.Probe(t.Context(), b.LocalAddr().String(), Message{Self: membership.Host{ID: "a"}, Rumours: rumours})
	require.NoError(t, err)
	require.Equal(t, rumours, got.Rumours)
	require.Equal(t, uint64(7), got.ConfigVersion)
}

// TestOtherKeysAreIgnored covers a host of another deployment, or an intruder.
func TestOtherKeysAreIgnored(t *testing.T) {
	a, b := listen(t), listen(t)
	asked := false
	ta := NewTransport(a, "one", func(m Message) Message { return m })
	tb := NewTransport(b, "two", func(m Message) Message { asked = true; return m })
	defer ta.Close()
	defer tb.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := ta.Probe(ctx, b.LocalAddr().String(), Message{})
	require.Error(t, err)
	require.False(t, asked)
}

func TestDamagedDatagrams(t *testing.T) {
	key := []byte("key")
	good, err := encode(key, Message{Self: membership.Host{ID: "a"}})
	require.NoError(t, err)
	for i := range good {
		bad := append([]byte(nil), good...)
		bad[i] ^= 1
		_, err := decode(key, bad)
		require.Error(t, err, "byte %d", i)
	}
	_, err = decode(key, good[:10])
	require.ErrorIs(t, err, errShort)
}

// TestDatagramsStaySmall checks that rumours are left out rather than sent in
// a datagram that the network would split.
func TestDatagramsStaySmall(t *testing.T) {
	a, b := listen(t), listen(t)
	seen := make(chan int, 1)
	ta := NewTransport(a, "key", func(m Message) Message { return m })
	tb := NewTransport(b, "key", func(m Message) Message {
		seen <- len(m.Rumours)
		return Message{}
	})
	defer ta.Close()
	defer tb.Close()
	many := make([]membership.Host, 200)
	for i := range many {
		many[i] = membership.Host{ID: "a-host-with-a-long-name", Zone: "zone", Peer: "127.0.0.1:65535", Incarnation: 1 << 50}
	}
	_, err := ta.Probe(t.Context(), b.LocalAddr().String(), Message{Rumours: many})
	require.NoError(t, err)
	n := <-seen
	require.Positive(t, n)
	require.Less(t, n, len(many))
}
