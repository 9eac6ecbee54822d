package dbgroup

import (
	"sync"
	"sync/atomic"
	"time"
)

// faults holds the injected failures of a member.
type faults struct {
	mu      sync.Mutex
	paused  chan struct{}
	crashed atomic.Bool
	frozen  atomic.Bool
	slow    atomic.Int64
}

func (f *faults) init() {
	f.paused = make(chan struct{})
	close(f.paused)
}

func (f *faults) down() bool { return f.crashed.Load() || f.frozen.Load() }

// gate blocks while the member is paused.
func (f *faults) gate() {
	f.mu.Lock()
	ch := f.paused
	f.mu.Unlock()
	<-ch
}

// Pause stops the member from doing anything, without closing connections.
func (m *Member) Pause() {
	m.faults.mu.Lock()
	defer m.faults.mu.Unlock()
	if !m.faults.frozen.Swap(true) {
		m.faults.paused = make(chan struct{})
	}
}

// Resume ends a pause.
func (m *Member) Resume() {
	m.faults.mu.Lock()
	defer m.faults.mu.Unlock()
	if m.faults.frozen.Swap(false) {
		close(m.faults.paused)
	}
}

// Slow adds d to the execution time of every statement and probe.
func (m *Member) Slow(d time.Duration) { m.faults.slow.Store(int64(d)) }

// Crash closes every connection and the listener. The log is durable and
// stays; transactions in progress are gone.
func (m *Member) Crash() {
	m.faults.crashed.Store(true)
	m.server.close()
}

// Restart brings a crashed member back under its old address. It comes back
// as a replica that follows no one, with the terms that it has granted.
func (m *Member) Restart() error {
	m.mu.Lock()
	m.primary, m.follows = false, 0
	m.stopFollowing()
	m.mu.Unlock()
	m.faults.crashed.Store(false)
	return m.server.listen(m.server.addr)
}
