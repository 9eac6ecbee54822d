package replicaset

import (
	"context"
	"errors"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/connpool"
	"github.com/dotterelswitch/dotterelswitch/core/mechanism"
	"github.com/dotterelswitch/dotterelswitch/core/statement"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
	"github.com/dotterelswitch/dotterelswitch/node/eventlog"
)

// grant is what a waiter is told: a connection, or that it waits in vain.
type grant struct {
	conn *Conn
	err  error
}

// acquire takes a connection, waiting for it as long as the waiter allows.
func (m *Member) acquire(ctx context.Context, w connpool.Waiter) (*Conn, error) {
	for {
		conn, ch, err := m.request(&w)
		if conn == nil {
			m.set.reclaim(m)
		}
		if err != nil {
			return nil, err
		}
		if ch != nil {
			conn, err = m.await(ctx, w, ch)
			if err != nil {
				return nil, err
			}
			return conn, nil
		}
		if conn.alive() {
			return conn, nil
		}
		conn.broken = true
		m.release(conn)
	}
}

// request asks the pool; it returns a connection or a channel to wait on.
func (m *Member) request(w *connpool.Waiter) (*Conn, chan grant, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.removed {
		return nil, nil, &RefusedError{Reason: "the member has left"}
	}
	now := clock.Now()
	m.nextID++
	w.ID = m.nextID
	if m.set.without.Enabled(mechanism.ShortFirst) {
		w.ExtraTime = m.times.ExtraTime(w.Kind, now)
	}
	d := m.pool.Acquire(*w, now)
	switch d.Outcome {
	case connpool.Granted:
		c := m.conns[d.Conn]
		c.takenAt, c.kind = now, w.Kind
		return c, nil, nil
	case connpool.Refused:
		return nil, nil, &RefusedError{Reason: eventlog.ReasonFull, RetryAfter: d.RetryAfter}
	}
	ch := make(chan grant, 1)
	m.waiters[w.ID] = ch
	m.openMore(now)
	return nil, ch, nil
}

// await waits for a queued request.
func (m *Member) await(ctx context.Context, w connpool.Waiter, ch chan grant) (*Conn, error) {
	timer := time.NewTimer(w.OnTimeUntil - clock.Now())
	defer timer.Stop()
	for {
		select {
		case g := <-ch:
			return g.conn, g.err
		case <-timer.C:
			if wait, keep := m.keepFor(w); keep {
				m.set.reclaim(m)
				timer.Reset(wait)
				continue
			}
		case <-ctx.Done():
		}
		if m.leave(w) {
			return nil, &RefusedError{Reason: "no connection to the member was free in time"}
		}
		// The grant came at the same moment.
		g := <-ch
		return g.conn, g.err
	}
}

// keepFor returns how long a waiter waits until it is judged again, and false
// when it is to be refused.
func (m *Member) keepFor(w connpool.Waiter) (time.Duration, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := clock.Now()
	at, keep := m.pool.WaitUntil(w, now)
	return at - now, keep
}

// leave takes a waiter back; it reports false when it was just granted.
func (m *Member) leave(w connpool.Waiter) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	left := m.pool.CancelWait(w.ID)
	delete(m.waiters, w.ID)
	return left
}

// openMore hands out idle connections that have become usable and opens those
// that the pool asks for. It is called with mu held.
func (m *Member) openMore(now time.Duration) {
	for {
		id, w, found := m.pool.AssignIdle(now)
		if !found {
			break
		}
		m.hand(m.conns[id], w, now)
	}
	for {
		order, due := m.pool.BeginOpen(now)
		if !due {
			break
		}
		if order.Evicts {
			m.conns[order.Evicted].close()
			delete(m.conns, order.Evicted)
		}
		m.nextID++
		go m.open(connpool.ConnID(m.nextID), order.Team)
	}
	m.armTimer(now)
}

// armTimer has the pool asked again when its pause ends. It is called with mu
// held.
func (m *Member) armTimer(now time.Duration) {
	at := m.pool.RetryOpenAt(now)
	if at == 0 || m.pool.Waiting() == 0 || m.openTimer != nil {
		return
	}
	m.openTimer = time.AfterFunc(at-now, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.openTimer = nil
		if !m.removed {
			m.openMore(clock.Now())
		}
	})
}

func (m *Member) open(id connpool.ConnID, team string) {
	sent := clock.Now()
	conn, err := connect(context.Background(), m.set.dial, m.set.proto, m, id, team)
	if err == nil {
		m.opened(conn, sent)
		return
	}
	var ce *ConnectError
	crowded := errors.As(err, &ce) && ce.Code == statement.TooManyConnections
	refusedLogin := ce != nil && ce.Code != statement.OK
	if refusedLogin && ce.Code == statement.WrongMember {
		m.missed(clock.Now())
		m.set.denied(m)
	}
	eventlog.ConnectionFailed.Debug(m.log).Err(err).Send()
	if !refusedLogin {
		m.failed(sent, ce.Failure)
	}
	m.mu.Lock()
	now := clock.Now()
	if refusedLogin {
		m.health.ResponseReceived(sent, now)
	}
	m.pool.OpenFailed(team, crowded, now)
	if !crowded {
		m.failWaiters(err)
	}
	m.openMore(now)
	m.mu.Unlock()
}

// failWaiters tells all waiters that no connection can be had, so that they
// go elsewhere. It is called with mu held.
func (m *Member) failWaiters(err error) {
	if m.pool.Open() > 0 {
		return
	}
	m.sendAway(err)
}

func (m *Member) opened(conn *Conn, sent time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := clock.Now()
	m.health.ResponseReceived(sent, now)
	m.conns[conn.id] = conn
	w, found := m.pool.Opened(connpool.Conn{ID: conn.id, Team: conn.team}, now)
	if found {
		m.hand(conn, w, now)
	}
	if m.removed {
		m.closeIdle()
	}
}

// hand gives a connection to a waiter. It is called with mu held.
func (m *Member) hand(conn *Conn, w connpool.Waiter, now time.Duration) {
	conn.takenAt, conn.kind = now, w.Kind
	ch := m.waiters[w.ID]
	delete(m.waiters, w.ID)
	ch <- grant{conn: conn}
}

// release returns a connection. One that is broken or not idle is closed.
func (m *Member) release(c *Conn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := clock.Now()
	if c.broken || c.lastState != statement.Idle || m.removed {
		m.pool.Closed(c.team)
		delete(m.conns, c.id)
		c.close()
		m.openMore(now)
		return
	}
	w, found := m.pool.Released(connpool.Conn{ID: c.id, Team: c.team, SessionValues: c.valuesKey()}, now-c.takenAt, now)
	if found {
		m.hand(c, w, now)
	}
	m.openMore(now)
	m.armSurplus(now)
}

// armSurplus closes idle connections above the fair share when their time is
// over. It is called with mu held.
func (m *Member) armSurplus(now time.Duration) {
	if m.surplusTimer != nil {
		return
	}
	at := m.pool.NextIdleExpiry()
	if at == 0 {
		return
	}
	m.surplusTimer = time.AfterFunc(max(at-now, 0), func() {
		m.mu.Lock()
		m.surplusTimer = nil
		m.mu.Unlock()
		now := clock.Now()
		m.closeSurplus(now)
		m.mu.Lock()
		m.armSurplus(now)
		m.mu.Unlock()
	})
}

// closeIdle closes all idle connections. It is called with mu held.
func (m *Member) closeIdle() {
	for _, id := range m.pool.DropIdle() {
		m.conns[id].close()
		delete(m.conns, id)
	}
}

// closeSurplus closes the idle connections that the pool wants rid of.
func (m *Member) closeSurplus(now time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, id := range m.pool.ExpireIdle(now) {
		m.conns[id].close()
		delete(m.conns, id)
	}
}
