package gossip

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Handler returns the answer to a probe of another host.
type Handler func(m Message) Message

// receiveBufferBytes holds the largest possible UDP datagram.
const receiveBufferBytes = 64 * 1024

// readRetryDelay is the delay after a failed read.
const readRetryDelay = 10 * time.Millisecond

// Transport sends probes and answers those of other hosts. It is safe for
// concurrent use.
type Transport struct {
	conn         net.PacketConn
	key          []byte
	handler      Handler
	lastSequence atomic.Uint64
	bytes        atomic.Int64

	mu      sync.Mutex
	pending map[uint64]chan Message
}

// NewTransport serves datagrams on conn until Close. All hosts of a deployment
// share the same key.
func NewTransport(conn net.PacketConn, key string, handler Handler) *Transport {
	t := &Transport{conn: conn, key: []byte(key), handler: handler, pending: make(map[uint64]chan Message)}
	// A late answer to a probe of an earlier process on this port must not match a new one.
	t.lastSequence.Store(rand.Uint64())
	go t.serve()
	return t
}

// Bytes returns the total bytes sent and received, excluding IP and UDP headers.
func (t *Transport) Bytes() int64 { return t.bytes.Load() }

// Close closes the connection and ends the receive loop.
func (t *Transport) Close() { _ = t.conn.Close() }

func (t *Transport) serve() {
	buf := make([]byte, receiveBufferBytes)
	for {
		n, from, err := t.conn.ReadFrom(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// The datagram is lost like others are; only an error that lasts would fill a
			// processor.
			time.Sleep(readRetryDelay)
			continue
		}
		t.bytes.Add(int64(n))
		m, err := decode(t.key, buf[:n])
		if err != nil {
			continue
		}
		if m.Answer {
			t.deliverAnswer(m)
			continue
		}
		answer := t.handler(m)
		answer.Sequence, answer.Answer = m.Sequence, true
		_ = t.send(from, answer)
	}
}

// deliverAnswer passes an answer to the probe that awaits it, and drops the
// answer if that probe has timed out.
func (t *Transport) deliverAnswer(m Message) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if ch, found := t.pending[m.Sequence]; found {
		ch <- m
		delete(t.pending, m.Sequence)
	}
}

// send drops the last rumours of a message until it fits into one datagram.
func (t *Transport) send(to net.Addr, m Message) error {
	data, err := encode(t.key, m)
	for err == nil && len(data) > maxDatagramBytes && len(m.Rumours) > 0 {
		m.Rumours = m.Rumours[:len(m.Rumours)-1]
		data, err = encode(t.key, m)
	}
	if err != nil {
		return err
	}
	n, err := t.conn.WriteTo(data, to)
	t.bytes.Add(int64(n))
	return err
}

// Probe sends a message and waits for the answer until ctx is done.
func (t *Transport) Probe(ctx context.Context, address string, m Message) (Message, error) {
	to, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return Message{}, err
	}
	m.Sequence = t.lastSequence.Add(1)
	ch := make(chan Message, 1)
	t.mu.Lock()
	t.pending[m.Sequence] = ch
	t.mu.Unlock()
	defer t.removePending(m.Sequence)
	if err := t.send(to, m); err != nil {
		return Message{}, err
	}
	select {
	case answer := <-ch:
		return answer, nil
	case <-ctx.Done():
		return Message{}, ctx.Err()
	}
}

func (t *Transport) removePending(sequence uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.pending, sequence)
}

// IsConnRefused reports whether err means that no process listens on the port.
func IsConnRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
