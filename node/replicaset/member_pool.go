package replicaset

import (
	"context"
	"errors"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/connpool"
	"github.com/dotterelswitch/dotterelswitch/core/correlate"
	"github.com/dotterelswitch/dotterelswitch/core/feature"
	"github.com/dotterelswitch/dotterelswitch/core/statement"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
	"github.com/dotterelswitch/dotterelswitch/node/eventlog"
)

// grant is the result of a wait for a connection.
type grant struct {
	conn *Conn
	err  error
}

// acquire takes a connection, waiting as long as the waiter allows.
func (m *Member) acquire(ctx context.Context, w connpool.Waiter) (*Conn, error) {
	for {
		conn, ch, err := m.requestConn(&w)
		if conn == nil {
			m.reportDropped()
			m.set.reclaim(m)
		}
		if err != nil {
			return nil, err
		}
		if ch != nil {
			conn, err = m.awaitGrant(ctx, w, ch)
			if err != nil {
				return nil, err
			}
			return conn, nil
		}
		if conn.usable() {
			return conn, nil
		}
		m.release(conn)
	}
}

// acquireSuitable takes a connection whose history suits the work. One that does not is
// replaced by a fresh one; the others stay in use for what they suit.
func (m *Member) acquireSuitable(ctx context.Context, w connpool.Waiter, suits func(*correlate.Tracker) bool) (*Conn, error) {
	c, err := m.acquire(ctx, w)
	if err != nil || suits(&c.tracker) {
		return c, err
	}
	c.tracker.Retire()
	m.release(c)
	w.Fresh = true
	return m.acquire(ctx, w)
}

// requestConn asks the pool for a connection. It returns either a connection or
// a channel to wait on.
func (m *Member) requestConn(w *connpool.Waiter) (*Conn, chan grant, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.removed {
		return nil, nil, &RefusedError{Reason: "the member has left"}
	}
	now := clock.Now()
	m.nextID++
	w.ID = m.nextID
	if m.set.features.Enabled(feature.ShortFirst) {
		w.ExtraExecutionTime = m.executionTimes.ExtraExecutionTime(w.Kind, now)
	}
	decision := m.pool.Acquire(*w, now)
	switch decision.Outcome {
	case connpool.Granted:
		c := m.conns[decision.Conn]
		c.takenAt, c.workKind, c.inUse = now, w.Kind, true
		return c, nil, nil
	case connpool.Refused:
		return nil, nil, &RefusedError{Reason: eventlog.ReasonQueueFull, RetryAfter: decision.RetryAfter}
	}
	ch := make(chan grant, 1)
	m.waiters[w.ID] = ch
	m.refuseDropped()
	m.advancePool(now)
	return nil, ch, nil
}

// refuseDropped refuses the waiting statements that the pool has dropped. It is called
// with mu held, before another waiter can be cancelled.
func (m *Member) refuseDropped() {
	dropped := m.pool.TakeDropped()
	for _, d := range dropped {
		reason := eventlog.ReasonHopeless
		if d.Displaced {
			reason = eventlog.ReasonDisplaced
		}
		m.waiters[d.Waiter.ID] <- grant{err: &RefusedError{Reason: reason, RetryAfter: d.RetryAfter, outOfTime: true}}
		delete(m.waiters, d.Waiter.ID)
	}
	if m.set.onDropped != nil {
		m.unreported = append(m.unreported, dropped...)
	}
}

// reportDropped reports the statements that were dropped since the last call.
func (m *Member) reportDropped() {
	m.mu.Lock()
	dropped := m.unreported
	m.unreported = nil
	m.mu.Unlock()
	for _, d := range dropped {
		m.set.onDropped(m.id, d)
	}
}

func (m *Member) awaitGrant(ctx context.Context, w connpool.Waiter, ch chan grant) (*Conn, error) {
	timer := time.NewTimer(w.OnTimeUntil - clock.Now())
	defer timer.Stop()
	for {
		select {
		case g := <-ch:
			return g.conn, g.err
		case <-timer.C:
			if recheckIn, keep := m.recheckAfter(w); keep {
				m.set.reclaim(m)
				timer.Reset(recheckIn)
				continue
			}
		case <-ctx.Done():
		}
		if m.cancelWait(w) {
			return nil, &RefusedError{Reason: "no connection to the member was free in time", outOfTime: true}
		}
		// A grant arrived concurrently.
		g := <-ch
		return g.conn, g.err
	}
}

// recheckAfter returns how long a waiter waits until its next check, and false
// if it is to be refused. A late waiter may take another team's idle connection, also when
// nothing else happens in the pool.
func (m *Member) recheckAfter(w connpool.Waiter) (time.Duration, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := clock.Now()
	at, keep := m.pool.WaitUntil(w, now)
	if keep {
		m.advancePool(now)
	}
	return at - now, keep
}

// cancelWait removes a waiter. It returns false if the waiter has already been
// granted a connection.
func (m *Member) cancelWait(w connpool.Waiter) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	cancelled := m.pool.CancelWait(w.ID)
	delete(m.waiters, w.ID)
	return cancelled
}

// advancePool assigns idle connections to waiters and opens the connections
// that the pool asks for. It is called with mu held.
func (m *Member) advancePool(now time.Duration) {
	for {
		for id, w, found := m.pool.AssignIdle(now); found; id, w, found = m.pool.AssignIdle(now) {
			m.grantConn(m.conns[id], w, now)
		}
		openReq, due := m.pool.BeginOpen(now)
		if !due {
			break
		}
		if openReq.Evicts {
			m.conns[openReq.Evicted].close()
			delete(m.conns, openReq.Evicted)
		}
		m.nextID++
		go m.openConn(connpool.ConnID(m.nextID), openReq.Team)
	}
	m.armOpenTimer(now)
}

// armOpenTimer schedules a retry for the end of the pool's backoff. It is
// called with mu held.
func (m *Member) armOpenTimer(now time.Duration) {
	at := m.pool.RetryOpenAt(now)
	if at == 0 || m.pool.Waiting() == 0 || m.openTimer != nil {
		return
	}
	m.openTimer = time.AfterFunc(at-now, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.openTimer = nil
		if !m.removed {
			m.advancePool(clock.Now())
		}
	})
}

func (m *Member) openConn(id connpool.ConnID, team string) {
	sent := clock.Now()
	conn, err := connect(context.Background(), m.set.dial, m.set.proto, m, id, team)
	if err == nil {
		m.connOpened(conn, sent)
		return
	}
	var connErr *ConnectError
	atLimit := errors.As(err, &connErr) && connErr.Code == statement.TooManyConnections
	refusedLogin := connErr != nil && connErr.Code != statement.OK
	if refusedLogin && connErr.Code == statement.WrongMember {
		m.observeWrongMember(clock.Now())
		m.set.observeDenial(m)
	}
	eventlog.ConnectionFailed.Debug(m.log).Err(err).Send()
	if !refusedLogin {
		m.exchangeFailed(sent, connErr.Failure)
		if connErr.Failure == failureRefused {
			m.detectRestart(sent)
		}
	}
	m.mu.Lock()
	now := clock.Now()
	if refusedLogin {
		m.health.ResponseReceived(sent, now)
	}
	m.pool.OpenFailed(team, atLimit, now)
	if !atLimit {
		m.failWaiters(err)
	}
	m.advancePool(now)
	m.mu.Unlock()
}

// failWaiters fails all waiters if no connection is open, so that they can try
// another member. It is called with mu held.
func (m *Member) failWaiters(err error) {
	if m.pool.Open() > 0 {
		return
	}
	m.refuseWaiters(err)
}

func (m *Member) connOpened(conn *Conn, sent time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := clock.Now()
	m.health.ResponseReceived(sent, now)
	m.conns[conn.id] = conn
	w, found := m.pool.Opened(connpool.Conn{ID: conn.id, Team: conn.team}, now)
	if found {
		m.grantConn(conn, w, now)
	}
	if m.removed {
		m.closeIdle()
		return
	}
	m.advancePool(now)
}

// grantConn gives a connection to a waiter. It is called with mu held.
func (m *Member) grantConn(conn *Conn, w connpool.Waiter, now time.Duration) {
	conn.takenAt, conn.workKind, conn.inUse = now, w.Kind, true
	ch := m.waiters[w.ID]
	delete(m.waiters, w.ID)
	ch <- grant{conn: conn}
}

// release returns a connection to the pool. A broken or retired connection, or one that is
// in a transaction, is closed.
func (m *Member) release(c *Conn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := clock.Now()
	c.inUse = false
	if c.broken || c.tracker.Retired() || c.tracker.State() != statement.Idle || m.removed {
		m.pool.Closed(c.team, now-c.takenAt)
		delete(m.conns, c.id)
		c.close()
		m.advancePool(now)
		return
	}
	w, found := m.pool.Released(connpool.Conn{ID: c.id, Team: c.team, SessionValues: c.valuesKey()}, now-c.takenAt, now)
	if found {
		m.grantConn(c, w, now)
	}
	m.advancePool(now)
	m.armIdleTimer(now)
}

// armIdleTimer schedules the closing of idle connections. It is called with mu
// held.
func (m *Member) armIdleTimer(now time.Duration) {
	if m.idleTimer != nil {
		return
	}
	at := m.pool.NextIdleExpiry()
	if at == 0 {
		return
	}
	m.idleTimer = time.AfterFunc(max(at-now, 0), func() {
		m.mu.Lock()
		m.idleTimer = nil
		m.mu.Unlock()
		now := clock.Now()
		m.closeExpiredIdle(now)
		m.mu.Lock()
		m.armIdleTimer(now)
		m.mu.Unlock()
	})
}

// closeIdle closes all idle connections. It is called with mu held.
func (m *Member) closeIdle() {
	for _, id := range m.pool.RemoveAllIdle() {
		m.conns[id].close()
		delete(m.conns, id)
	}
}

// closeExpiredIdle closes the idle connections that have passed their idle
// timeout.
func (m *Member) closeExpiredIdle(now time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, id := range m.pool.ExpireIdle(now) {
		m.conns[id].close()
		delete(m.conns, id)
	}
}
