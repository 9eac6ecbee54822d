package gossip

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/membership"
	"github.com/dotterelswitch/dotterelswitch/core/peerpoll"
)

func listen(t *testing.T) net.PacketConn {
	t.Helper()
	c, err := net.ListenPacket("udp", "127.0.0.1:0")
	require.NoError(t, err)
	return c
}

func TestProbeAndAnswer(t *testing.T) {
	a, b := listen(t), listen(t)
	handler := func(m Message) Message {
		return Message{Self: membership.Host{ID: "b", Incarnation: 2}, Rumours: m.Rumours, ConfigVersion: 7}
	}
	ta, tb := NewTransport(a, "key", handler), NewTransport(b, "key", handler)
	defer ta.Close()
	defer tb.Close()
	rumours := []membership.Host{{ID: "c", Zone: "z", Peer: "127.0.0.1:1", Incarnation: 3, State: membership.Leaving}}
	got, err := ta.Probe(t.Context(), b.LocalAddr().String(), Message{Self: membership.Host{ID: "a"}, Rumours: rumours})
	require.NoError(t, err)
	require.Equal(t, rumours, got.Rumours)
	require.Equal(t, uint64(7), got.ConfigVersion)
}

// TestStoreProgressIsAskedAndTold guards against an answer that lacks what the sender
// knows, and tells it apart from the answer of an earlier release.
func TestStoreProgressIsAskedAndTold(t *testing.T) {
	a, b := listen(t), listen(t)
	want := peerpoll.Progress{Revision: 1 << 50, ConfigVersion: 12, ReachesStore: true}
	ta := NewTransport(a, "key", func(m Message) Message { return m })
	tb := NewTransport(b, "key", func(m Message) Message {
		if !m.AskStoreProgress {
			return Message{}
		}
		return Message{StoreProgress: &want}
	})
	defer ta.Close()
	defer tb.Close()
	got, err := ta.Probe(t.Context(), b.LocalAddr().String(), Message{AskStoreProgress: true})
	require.NoError(t, err)
	require.Equal(t, &want, got.StoreProgress)
	got, err = ta.Probe(t.Context(), b.LocalAddr().String(), Message{})
	require.NoError(t, err)
	require.Nil(t, got.StoreProgress)
}

// TestDatagramsUnderAnotherKeyAreIgnored guards against handling datagrams of
// another deployment or of an attacker.
func TestDatagramsUnderAnotherKeyAreIgnored(t *testing.T) {
	a, b := listen(t), listen(t)
	handled := false
	ta := NewTransport(a, "one", func(m Message) Message { return m })
	tb := NewTransport(b, "two", func(m Message) Message { handled = true; return m })
	defer ta.Close()
	defer tb.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := ta.Probe(ctx, b.LocalAddr().String(), Message{})
	require.Error(t, err)
	require.False(t, handled)
}

func TestCorruptDatagramsAreRejected(t *testing.T) {
	key := []byte("key")
	valid, err := encode(key, Message{Self: membership.Host{ID: "a"}})
	require.NoError(t, err)
	for i := range valid {
		corrupt := append([]byte(nil), valid...)
		corrupt[i] ^= 1
		_, err := decode(key, corrupt)
		require.Error(t, err, "byte %d", i)
	}
	_, err = decode(key, valid[:10])
	require.ErrorIs(t, err, errTooShort)
}

// TestRumoursAreDroppedToFitOneDatagram guards against datagrams that exceed the
// MTU and would be fragmented.
func TestRumoursAreDroppedToFitOneDatagram(t *testing.T) {
	a, b := listen(t), listen(t)
	received := make(chan int, 1)
	ta := NewTransport(a, "key", func(m Message) Message { return m })
	tb := NewTransport(b, "key", func(m Message) Message {
		received <- len(m.Rumours)
		return Message{}
	})
	defer ta.Close()
	defer tb.Close()
	rumours := make([]membership.Host, 200)
	for i := range rumours {
		rumours[i] = membership.Host{ID: "a-host-with-a-long-name", Zone: "zone", Peer: "127.0.0.1:65535", Incarnation: 1 << 50}
	}
	_, err := ta.Probe(t.Context(), b.LocalAddr().String(), Message{Rumours: rumours})
	require.NoError(t, err)
	n := <-received
	require.Positive(t, n)
	require.Less(t, n, len(rumours))
}

// failingConn counts reads, all of which fail.
type failingConn struct {
	net.PacketConn
	reads atomic.Int64
}

func (c *failingConn) ReadFrom([]byte) (int, net.Addr, error) {
	c.reads.Add(1)
	if c.reads.Load() < 0 {
		return 0, nil, net.ErrClosed
	}
	return 0, nil, errors.New("no buffer space")
}

// TestLastingReadErrorDoesNotFillAProcessor guards against a loop without a pause while
// the socket cannot be read.
func TestLastingReadErrorDoesNotFillAProcessor(t *testing.T) {
	startedAt := time.Now()
	c := &failingConn{PacketConn: listen(t)}
	NewTransport(c, "key", func(m Message) Message { return m })
	time.Sleep(200 * time.Millisecond)
	reads := c.reads.Swap(math.MinInt64)
	require.Positive(t, reads)
	require.LessOrEqual(t, reads, int64(time.Since(startedAt)/readRetryDelay)+1)
}

// TestAnswerToEarlierProcessIsDropped guards against a late answer to a probe of a host's
// earlier process that is taken for the answer to another probe of the present one.
func TestAnswerToEarlierProcessIsDropped(t *testing.T) {
	conn, late, silent := listen(t), listen(t), listen(t)
	address := conn.LocalAddr().String()
	echo := func(m Message) Message { return m }
	earlier := NewTransport(conn, "key", echo)
	// The answer of this peer arrives after the restart.
	held := make(chan Message, 1)
	tl := NewTransport(late, "key", func(m Message) Message { held <- m; return m })
	defer tl.Close()
	defer func() { _ = silent.Close() }()
	_, err := earlier.Probe(t.Context(), late.LocalAddr().String(), Message{})
	require.NoError(t, err)
	answer := <-held
	answer.Answer, answer.ConfigVersion = true, 9
	earlier.Close()

	conn, err = net.ListenPacket("udp", address)
	require.NoError(t, err)
	restarted := NewTransport(conn, "key", echo)
	defer restarted.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	go func() {
		for ctx.Err() == nil {
			_ = tl.send(conn.LocalAddr(), answer)
			time.Sleep(5 * time.Millisecond)
		}
	}()
	_, err = restarted.Probe(ctx, silent.LocalAddr().String(), Message{})
	require.ErrorIs(t, err, context.DeadlineExceeded)
}

// repeatingConn sends each datagram a second time, up to maxDelay later.
type repeatingConn struct {
	net.PacketConn
	maxDelay time.Duration
}

func (c repeatingConn) WriteTo(b []byte, to net.Addr) (int, error) {
	data := slices.Clone(b)
	time.AfterFunc(rand.N(c.maxDelay), func() { _, _ = c.PacketConn.WriteTo(data, to) })
	return c.PacketConn.WriteTo(b, to)
}

// TestRepeatedDatagramsReachNoOtherProbe guards against an answer that comes twice, or after
// its probe was given up, being taken for that to another probe, of the same host or of
// another one. Questions that come twice are answered twice.
func TestRepeatedDatagramsReachNoOtherProbe(t *testing.T) {
	repeating := func() net.PacketConn { return repeatingConn{listen(t), 20 * time.Millisecond} }
	asker := NewTransport(repeating(), "key", func(m Message) Message { return m })
	defer asker.Close()
	var addresses []string
	for i := range 3 {
		conn := repeating()
		host := NewTransport(conn, "key", func(m Message) Message {
			return Message{Self: membership.Host{ID: fmt.Sprint("h", i)}, Unsettled: m.Unsettled}
		})
		defer host.Close()
		addresses = append(addresses, conn.LocalAddr().String())
	}
	var answered, wrong atomic.Int64
	var wg sync.WaitGroup
	end := time.Now().Add(time.Second)
	for caller := range 6 {
		wg.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				question, host := fmt.Sprint(caller, " ", n), n%len(addresses)
				ctx, cancel := context.WithTimeout(context.Background(), rand.N(20*time.Millisecond))
				got, err := asker.Probe(ctx, addresses[host], Message{Unsettled: question})
				cancel()
				if err != nil {
					continue
				}
				answered.Add(1)
				if got.Unsettled != question || got.Self.ID != fmt.Sprint("h", host) {
					wrong.Add(1)
				}
			}
		})
	}
	wg.Wait()
	t.Logf("%d answers", answered.Load())
	require.Zero(t, wrong.Load())
	require.Greater(t, answered.Load(), int64(50))
}
