package lineplatform

import (
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dotterelswitch/dotterelswitch/standin/loopback"
)

// Member is one member of a group. The group's lock guards its fields but for
// those that say otherwise.
type Member struct {
	group   *Group
	ID      string
	zone    string
	address string
	// advertised is the address in the member's entry.
	advertised string
	slots      chan struct{}

	primary bool
	leaving bool
	down    bool
	term    uint64
	// born is the Unix millisecond of the present start, and sequence counts the
	// entries that were written since.
	born     int64
	sequence uint64
	// held is the term of a pause in receiving; zero for none.
	held     uint64
	deaf     bool
	log      []entry
	conns    map[*conn]bool
	listener net.Listener

	// restarts lets one restart happen at a time.
	restarts sync.Mutex
	// silent is set while the member answers nothing; loseAnswers is how many
	// answers are still to be lost, and refuse how many statements get BUSY.
	silent      atomic.Bool
	loseAnswers atomic.Int64
	refuse      atomic.Int64
	logins      atomic.Int64
	crowded     atomic.Int64
	// abandoned counts the connections that were accepted and have ended without a
	// word.
	abandoned atomic.Int64
}

// start opens the listener, at the old address after a crash. While the member
// is down no outgoing connection can take that address.
func (m *Member) start() error {
	l, err := m.listen()
	if err != nil {
		return err
	}
	address, advertised := l.Addr().String(), m.advertised
	if advertised == "" {
		advertised, err = m.group.front(address)
		if err != nil {
			_ = l.Close()
			return err
		}
	}
	m.group.mu.Lock()
	m.listener, m.address, m.advertised, m.down = l, address, advertised, false
	m.born, m.sequence = max(time.Now().UnixMilli(), m.born+1), 0
	m.conns = map[*conn]bool{}
	m.group.mu.Unlock()
	go m.accept(l)
	return nil
}

func (m *Member) listen() (net.Listener, error) {
	if m.address == "" {
		return loopback.Listen()
	}
	return net.Listen("tcp", m.address)
}

func (m *Member) accept(l net.Listener) {
	for {
		nc, err := l.Accept()
		if err != nil {
			return
		}
		go m.serve(nc)
	}
}

// Address returns where the member listens.
func (m *Member) Address() string { return m.address }

// Advertised returns the address in the member's entry.
func (m *Member) Advertised() string { return m.advertised }

// Crash ends the member: its listener and connections are gone.
func (m *Member) Crash() {
	m.group.mu.Lock()
	m.down, m.primary = true, false
	l := m.listener
	var open []*conn
	for c := range m.conns {
		open = append(open, c)
	}
	m.group.mu.Unlock()
	_ = l.Close()
	for _, c := range open {
		_ = c.net.Close()
	}
}

// Restart starts a crashed member with its log, as a replica.
// It does nothing for one that is up: of two crashes that overlap, the end of
// the first has started it.
func (m *Member) Restart() error {
	m.restarts.Lock()
	defer m.restarts.Unlock()
	if !m.isDown() {
		return nil
	}
	if err := m.start(); err != nil {
		return err
	}
	m.announce()
	return nil
}

// RestartEmpty starts a crashed member under its id with nothing of what it
// held. Leads tells that it takes itself for the primary all the same; replicas
// then receive nothing until one of them is promoted.
func (m *Member) RestartEmpty(leads bool) error {
	m.restarts.Lock()
	defer m.restarts.Unlock()
	if !m.isDown() {
		return nil
	}
	m.group.mu.Lock()
	m.log, m.held, m.primary = nil, 0, leads
	if m.group.source == m {
		// Nobody has a log for the replicas to receive.
		m.group.source = nil
	}
	m.group.mu.Unlock()
	if err := m.start(); err != nil {
		return err
	}
	m.announce()
	return nil
}

func (m *Member) isDown() bool {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	return m.down
}

// Draining reports whether the member has announced its leave.
func (m *Member) Draining() bool {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	return m.leaving
}

// Gone reports whether the member was removed from its group.
func (m *Member) Gone() bool { return !slices.Contains(m.group.Members(), m) }

// Silence makes the member answer nothing, or answer again.
func (m *Member) Silence(on bool) { m.silent.Store(on) }

// LoseAnswers makes the member run the next n statements without answering.
func (m *Member) LoseAnswers(n int) { m.loseAnswers.Store(int64(n)) }

// RefuseNext makes the member answer BUSY to the next n statements.
func (m *Member) RefuseNext(n int) { m.refuse.Store(int64(n)) }

// Deafen stops the member from receiving, or lets it receive again.
func (m *Member) Deafen(on bool) {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	m.receive()
	m.deaf = on
}

// Depose makes a replica of the primary without telling anyone, as a promotion
// elsewhere does that this stand-in's callers have not heard of.
func (m *Member) Depose() {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	m.primary = false
}

// Logins returns how many connections were accepted, and how many turned away.
func (m *Member) Logins() (accepted, crowded int64) { return m.logins.Load(), m.crowded.Load() }

// Abandoned returns how many accepted connections have ended without a word: a
// host gives up one whose answer did not come, and takes its leave of others.
func (m *Member) Abandoned() int64 { return m.abandoned.Load() }

// Position returns the end of the member's log.
func (m *Member) Position() string {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	m.receive()
	return m.position()
}

// position is the place of the newest entry: of an older term, on a new primary
// that has not written yet.
func (m *Member) position() string {
	if len(m.log) == 0 {
		return Place{Term: m.term}.String()
	}
	last := m.log[len(m.log)-1]
	return Place{Term: last.term, Number: last.number}.String()
}

// receive copies from the primary what is older than the lag. It is called
// with the group's lock held.
func (m *Member) receive() {
	lead := m.group.source
	if lead == nil || lead == m || lead.down || m.deaf || m.held != 0 || m.down {
		return
	}
	m.truncate(lead)
	limit := time.Now().Add(-m.group.opts.Lag)
	for n := len(m.log); n < len(lead.log) && lead.log[n].at.Before(limit); n++ {
		m.log = append(m.log, lead.log[n])
	}
	m.term = lead.term
}

// truncate drops the entries that are not on the leader's branch.
func (m *Member) truncate(lead *Member) {
	same := 0
	for same < len(m.log) && same < len(lead.log) && m.log[same].term == lead.log[same].term {
		same++
	}
	if same < len(m.log) && same < len(lead.log) || len(m.log) > len(lead.log) {
		m.log = slices.Clone(m.log[:same])
	}
}

// has reports whether the log holds a position.
func (m *Member) has(term, number uint64) bool {
	if number == 0 {
		return m.term >= term
	}
	if uint64(len(m.log)) < number {
		return false
	}
	return m.log[number-1].term == term || (m.log[number-1].term < term && m.term >= term)
}

// lookup returns the newest data of an item.
func (m *Member) lookup(item string) string {
	for i := len(m.log) - 1; i >= 0; i-- {
		for _, w := range m.log[i].writes {
			if w.item == item {
				return w.data
			}
		}
	}
	return "none"
}
