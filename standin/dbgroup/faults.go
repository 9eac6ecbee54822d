package dbgroup

import (
	"sync"
	"sync/atomic"
	"time"
)

// faults holds the injected failures of a member.
type faults struct {
	mu sync.Mutex
	// resumed is closed unless the member is paused.
	resumed chan struct{}
	crashed atomic.Bool
	paused  atomic.Bool
	// statementDelay is a time.Duration.
	statementDelay atomic.Int64
}

func (f *faults) init() {
	f.resumed = make(chan struct{})
	close(f.resumed)
}

func (f *faults) unavailable() bool { return f.crashed.Load() || f.paused.Load() }

func (f *faults) waitWhilePaused() {
	f.mu.Lock()
	ch := f.resumed
	f.mu.Unlock()
	<-ch
}

// Pause stops all processing in the member; connections stay open.
func (m *Member) Pause() {
	m.faults.mu.Lock()
	defer m.faults.mu.Unlock()
	if !m.faults.paused.Swap(true) {
		m.faults.resumed = make(chan struct{})
	}
}

// Resume ends a Pause.
func (m *Member) Resume() {
	m.faults.mu.Lock()
	defer m.faults.mu.Unlock()
	if m.faults.paused.Swap(false) {
		close(m.faults.resumed)
	}
}

// SetStatementDelay adds d to the execution time of statements and status probes.
func (m *Member) SetStatementDelay(d time.Duration) { m.faults.statementDelay.Store(int64(d)) }

// Crash closes the listener and every connection. The log is durable; open
// transactions are lost.
func (m *Member) Crash() {
	m.faults.crashed.Store(true)
	m.server.close()
}

// Restart starts a crashed member on its old address, as a replica that follows
// no primary. Its granted term survives.
func (m *Member) Restart() error {
	m.mu.Lock()
	m.primary, m.followedTerm = false, 0
	m.stopFollowing()
	m.mu.Unlock()
	m.faults.crashed.Store(false)
	return m.server.listen(m.server.addr)
}
