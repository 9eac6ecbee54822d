package netem

import (
	"context"
	"net"
	"os"
	"sync"
	"time"
)

// maxChunksInFlight limits the queued chunks in each direction.
const maxChunksInFlight = 256

const readBufferBytes = 32 * 1024

// conn delays both directions of a connection and blocks them during a
// partition.
type conn struct {
	net.Conn
	network  *Network
	from, to string
	delay    time.Duration
	ctx      context.Context
	cancel   context.CancelFunc

	outbound chan chunk
	inbound  chan chunk

	mu              sync.Mutex
	deadline        time.Time
	deadlineChanged chan struct{}

	// readMu serializes Read and guards unread and readErr. It is locked before
	// mu.
	readMu  sync.Mutex
	unread  []byte
	readErr error

	closeOnce sync.Once
	closed    chan struct{}
}

// chunk is a part of the byte stream in transit.
type chunk struct {
	data      []byte
	arrivesAt time.Time
	err       error
}

func newConn(inner net.Conn, n *Network, from, to string, delay time.Duration) *conn {
	ctx, cancel := context.WithCancel(context.Background())
	c := &conn{
		Conn: inner, network: n, from: from, to: to, delay: delay,
		ctx: ctx, cancel: cancel,
		outbound: make(chan chunk, maxChunksInFlight), inbound: make(chan chunk, maxChunksInFlight),
		deadlineChanged: make(chan struct{}), closed: make(chan struct{}),
	}
	go c.sendLoop()
	go c.receiveLoop()
	return c
}

// sendLoop writes queued chunks to the peer.
func (c *conn) sendLoop() {
	for {
		select {
		case ch := <-c.outbound:
			if !c.awaitDelivery(ch.arrivesAt) {
				return
			}
			if _, err := c.Conn.Write(ch.data); err != nil {
				return
			}
		case <-c.ctx.Done():
			return
		}
	}
}

// receiveLoop queues received chunks for Read.
func (c *conn) receiveLoop() {
	buf := make([]byte, readBufferBytes)
	for {
		n, err := c.Conn.Read(buf)
		ch := chunk{data: append([]byte(nil), buf[:n]...), arrivesAt: time.Now().Add(c.delay), err: err}
		select {
		case c.inbound <- ch:
		case <-c.ctx.Done():
			return
		}
		if err != nil {
			return
		}
	}
}

// awaitDelivery waits until a chunk is due and the path is reachable. It reports
// false if the connection closes first.
func (c *conn) awaitDelivery(due time.Time) bool {
	if sleep(c.ctx, time.Until(due)) != nil {
		return false
	}
	return c.network.waitReachable(c.ctx, c.from, c.to) == nil
}

// Write queues b for sending.
func (c *conn) Write(b []byte) (int, error) {
	ch := chunk{data: append([]byte(nil), b...), arrivesAt: time.Now().Add(c.delay)}
	select {
	case c.outbound <- ch:
		return len(b), nil
	case <-c.ctx.Done():
		return 0, net.ErrClosed
	}
}

// Read returns received data. It may be called concurrently.
func (c *conn) Read(b []byte) (int, error) {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	for {
		if len(c.unread) > 0 {
			n := copy(b, c.unread)
			c.unread = c.unread[n:]
			return n, nil
		}
		if c.readErr != nil {
			return 0, c.readErr
		}
		if err := c.fill(); err != nil {
			return 0, err
		}
	}
}

// fill waits for the next chunk, a changed deadline, a timeout or a close.
func (c *conn) fill() error {
	c.mu.Lock()
	deadline, deadlineChanged := c.deadline, c.deadlineChanged
	c.mu.Unlock()
	var timeout <-chan time.Time
	if !deadline.IsZero() {
		timer := time.NewTimer(time.Until(deadline))
		defer timer.Stop()
		timeout = timer.C
	}
	select {
	case ch := <-c.inbound:
		if !c.awaitDelivery(ch.arrivesAt) {
			return net.ErrClosed
		}
		c.unread, c.readErr = ch.data, ch.err
		return nil
	case <-deadlineChanged:
		return nil
	case <-timeout:
		return os.ErrDeadlineExceeded
	case <-c.closed:
		return net.ErrClosed
	case <-c.ctx.Done():
		return net.ErrClosed
	}
}

// SetDeadline sets the read deadline only, since writes are queued.
func (c *conn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	close(c.deadlineChanged)
	c.deadlineChanged = make(chan struct{})
	return nil
}

// SetWriteDeadline has no effect; writes are queued.
func (c *conn) SetWriteDeadline(time.Time) error { return nil }

// maxCloseWait limits how long closing waits for a partition to heal.
const maxCloseWait = time.Minute

// Close closes the connection. During a partition the peer sees the close only
// after the partition heals, since its packets are dropped until then.
func (c *conn) Close() error {
	c.closeOnce.Do(func() {
		close(c.closed)
		go c.closeAfterDrain()
	})
	return nil
}

func (c *conn) closeAfterDrain() {
	ctx, cancel := context.WithTimeout(context.Background(), maxCloseWait)
	defer cancel()
	_ = c.network.waitReachable(ctx, c.from, c.to)
	for len(c.outbound) > 0 && ctx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(c.delay)
	c.cancel()
	_ = c.Conn.Close()
}
