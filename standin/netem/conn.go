package netem

import (
	"context"
	"net"
	"os"
	"sync"
	"time"
)

// pipeDepth bounds the chunks in flight in one direction.
const pipeDepth = 256

// conn delays both directions of a connection and stops them during a cut.
type conn struct {
	net.Conn
	network  *Network
	from, to string
	delay    time.Duration
	ctx      context.Context
	cancel   context.CancelFunc

	out chan chunk
	in  chan chunk

	mu       sync.Mutex
	deadline time.Time
	bump     chan struct{}

	// reading is held by one Read at a time; it guards the fields below. It is
	// taken before mu.
	reading sync.Mutex
	rest    []byte
	readErr error

	closeOnce sync.Once
	closed    chan struct{}
}

// chunk is a piece of the stream with the time at which it arrives.
type chunk struct {
	data []byte
	due  time.Time
	err  error
}

func newConn(inner net.Conn, n *Network, from, to string, delay time.Duration) *conn {
	ctx, cancel := context.WithCancel(context.Background())
	c := &conn{
		Conn: inner, network: n, from: from, to: to, delay: delay,
		ctx: ctx, cancel: cancel,
		out: make(chan chunk, pipeDepth), in: make(chan chunk, pipeDepth),
		bump: make(chan struct{}), closed: make(chan struct{}),
	}
	go c.pumpOut()
	go c.pumpIn()
	return c
}

// pumpOut carries written chunks to the far side.
func (c *conn) pumpOut() {
	for {
		select {
		case ch := <-c.out:
			if !c.transfer(ch.due) {
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

// pumpIn carries chunks from the far side to Read.
func (c *conn) pumpIn() {
	buf := make([]byte, 32*1024)
	for {
		n, err := c.Conn.Read(buf)
		ch := chunk{data: append([]byte(nil), buf[:n]...), due: time.Now().Add(c.delay), err: err}
		select {
		case c.in <- ch:
		case <-c.ctx.Done():
			return
		}
		if err != nil {
			return
		}
	}
}

// transfer waits for a chunk's time and for the path to be open.
func (c *conn) transfer(due time.Time) bool {
	if sleep(c.ctx, time.Until(due)) != nil {
		return false
	}
	return c.network.wait(c.ctx, c.from, c.to) == nil
}

// Write queues b for the far side.
func (c *conn) Write(b []byte) (int, error) {
	ch := chunk{data: append([]byte(nil), b...), due: time.Now().Add(c.delay)}
	select {
	case c.out <- ch:
		return len(b), nil
	case <-c.ctx.Done():
		return 0, net.ErrClosed
	}
}

// Read returns what has arrived. Reads from several goroutines take turns.
func (c *conn) Read(b []byte) (int, error) {
	c.reading.Lock()
	defer c.reading.Unlock()
	for {
		if len(c.rest) > 0 {
			n := copy(b, c.rest)
			c.rest = c.rest[n:]
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

// fill waits for the next chunk, the deadline or a close.
func (c *conn) fill() error {
	c.mu.Lock()
	deadline, bump := c.deadline, c.bump
	c.mu.Unlock()
	var timeout <-chan time.Time
	if !deadline.IsZero() {
		timer := time.NewTimer(time.Until(deadline))
		defer timer.Stop()
		timeout = timer.C
	}
	select {
	case ch := <-c.in:
		if !c.transfer(ch.due) {
			return net.ErrClosed
		}
		c.rest, c.readErr = ch.data, ch.err
		return nil
	case <-bump:
		return nil
	case <-timeout:
		return os.ErrDeadlineExceeded
	case <-c.closed:
		return net.ErrClosed
	case <-c.ctx.Done():
		return net.ErrClosed
	}
}

// SetDeadline sets the read deadline; writes never block for long here.
func (c *conn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

// SetReadDeadline bounds Read.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	close(c.bump)
	c.bump = make(chan struct{})
	return nil
}

// SetWriteDeadline has no effect; writes are queued.
func (c *conn) SetWriteDeadline(time.Time) error { return nil }

// closeWait bounds how long a close may wait for a cut path to heal.
const closeWait = time.Minute

// Close ends both directions. Over a cut path the far side learns of it only
// once the path is open, as with packets that are dropped.
func (c *conn) Close() error {
	c.closeOnce.Do(func() {
		close(c.closed)
		go c.drainAndClose()
	})
	return nil
}

func (c *conn) drainAndClose() {
	ctx, cancel := context.WithTimeout(context.Background(), closeWait)
	defer cancel()
	_ = c.network.wait(ctx, c.from, c.to)
	for len(c.out) > 0 && ctx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(c.delay)
	c.cancel()
	_ = c.Conn.Close()
}
