package gossip

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
)

// Handler answers the probes of other hosts.
type Handler func(m Message) Message

// Transport sends and receives datagrams. It is safe for concurrent use.
type Transport struct {
	conn    net.PacketConn
	key     []byte
	handler Handler
	next    atomic.Uint64
	bytes   atomic.Int64

	mu      sync.Mutex
	waiting map[uint64]chan Message
}

// NewTransport serves datagrams on a connection until it is closed. Key is the
// secret that hosts share.
func NewTransport(conn net.PacketConn, key string, handler Handler) *Transport {
	t := &Transport{conn: conn, key: []byte(key), handler: handler, waiting: make(map[uint64]chan Message)}
	go t.serve()
	return t
}

// Bytes returns the bytes sent and received, without IP and UDP headers.
func (t *Transport) Bytes() int64 { return t.bytes.Load() }

// Close ends the transport.
func (t *Transport) Close() { _ = t.conn.Close() }

func (t *Transport) serve() {
	buf := make([]byte, 64*1024)
	for {
		n, from, err := t.conn.ReadFrom(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		t.bytes.Add(int64(n))
		m, err := decode(t.key, buf[:n])
		if err != nil {
			continue
		}
		if m.Answer {
			t.deliver(m)
			continue
		}
		answer := t.handler(m)
		answer.Sequence, answer.Answer = m.Sequence, true
		_ = t.send(from, answer)
	}
}

// deliver hands an answer to the probe that waits for it; a late one is
// dropped.
func (t *Transport) deliver(m Message) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if ch, found := t.waiting[m.Sequence]; found {
		ch <- m
		delete(t.waiting, m.Sequence)
	}
}

// send drops rumours that would not fit into one datagram.
func (t *Transport) send(to net.Addr, m Message) error {
	data, err := encode(t.key, m)
	for err == nil && len(data) > maxDatagram && len(m.Rumours) > 0 {
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

// Probe sends a message and waits for the answer until the context ends.
func (t *Transport) Probe(ctx context.Context, address string, m Message) (Message, error) {
	to, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return Message{}, err
	}
	m.Sequence = t.next.Add(1)
	ch := make(chan Message, 1)
	t.mu.Lock()
	t.waiting[m.Sequence] = ch
	t.mu.Unlock()
	defer t.forget(m.Sequence)
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

func (t *Transport) forget(sequence uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.waiting, sequence)
}

// Refused reports whether an error says that no process has the port open.
func Refused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
