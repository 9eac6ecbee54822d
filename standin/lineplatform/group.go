package lineplatform

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Options describe the members of a group.
type Options struct {
	Members        int
	Slots          int
	MaxConnections int
	// Work is the slot time of a read, a write or a commit, and of a login.
	Work time.Duration
	// Lag is how far replicas are behind.
	Lag time.Duration
	// PromoteTime is how long a promotion takes.
	PromoteTime time.Duration
	Zones       []string
	// Front returns the address that a member's entry names in place of its own,
	// such as a proxy's; nil leaves it.
	Front func(address string) (string, error)
}

// entry is one commit in a log.
type entry struct {
	term, number uint64
	at           time.Time
	writes       []write
}

// write is one stored item of a commit.
type write struct{ id, item, data string }

// Run is one statement that a member ran.
type Run struct {
	ID, Member, Text string
	// Position is the end of the log that it ran on.
	Position string
	// Row is what a read returned.
	Row string
	// Tx tells the transactions of a group apart; zero outside of one.
	Tx uint64
	// Values are the connection's session values, in order of their names.
	Values string
	// Shape is what a prepared statement was prepared as.
	Shape string
	// Team is in whose name its connection was opened.
	Team string
	// At is when it ran.
	At time.Time
}

// Place is a place in a group's log.
type Place struct{ Term, Number uint64 }

// ParsePlace reads the form that String writes, TERM.NUMBER.
func ParsePlace(text string) (Place, error) {
	first, second, _ := strings.Cut(text, ".")
	term, err := number(first)
	if err != nil {
		return Place{}, err
	}
	n, err := number(second)
	if err != nil {
		return Place{}, err
	}
	return Place{Term: term, Number: n}, nil
}

func (p Place) String() string {
	return strconv.FormatUint(p.Term, 10) + "." + strconv.FormatUint(p.Number, 10)
}

// Group is one database group. Its lock guards all members' data.
type Group struct {
	platform *Platform
	service  string
	opts     Options

	mu      sync.Mutex
	term    uint64
	members []*Member
	// source is the member that led last: replicas receive its log, also after
	// it stepped down.
	source *Member
	runs   []Run
	// committed counts, for each request id, the commits that kept its write.
	committed map[string]int
	// commits holds where the newest of them lies in the log.
	commits map[string]Place
	// starts holds, for each promotion, the new term and the end of the log that
	// it started from. What lay above it was rolled back.
	starts []Place
	nextTx uint64
	nextID int
}

// AddGroup starts a group whose first member is the primary.
func (p *Platform) AddGroup(service string, o Options) (*Group, error) {
	g := &Group{platform: p, service: service, opts: o, term: 1, committed: map[string]int{}, commits: map[string]Place{}}
	for range o.Members {
		if _, err := g.AddMember(); err != nil {
			g.close()
			return nil, err
		}
	}
	g.mu.Lock()
	g.members[0].primary, g.source = true, g.members[0]
	g.mu.Unlock()
	p.mu.Lock()
	p.groups[service] = g
	p.mu.Unlock()
	for _, m := range g.Members() {
		m.announce()
	}
	return g, nil
}

// AddMember starts one more member, as a replica.
func (g *Group) AddMember() (*Member, error) {
	g.mu.Lock()
	g.nextID++
	n := g.nextID
	g.mu.Unlock()
	zone := "z"
	if len(g.opts.Zones) > 0 {
		zone = g.opts.Zones[(n-1)%len(g.opts.Zones)]
	}
	m := &Member{group: g, ID: fmt.Sprintf("%s-%d", g.service, n), zone: zone, term: 1, slots: make(chan struct{}, g.opts.Slots)}
	if err := m.start(); err != nil {
		return nil, err
	}
	g.mu.Lock()
	g.members = append(g.members, m)
	g.mu.Unlock()
	return m, nil
}

// front returns the address to advertise for a member.
func (g *Group) front(address string) (string, error) {
	if g.opts.Front == nil {
		return address, nil
	}
	return g.opts.Front(address)
}

// Remove ends a member that has announced its leave, for good.
func (g *Group) Remove(m *Member) {
	m.Crash()
	m.Lapse()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.members = slices.DeleteFunc(g.members, func(x *Member) bool { return x == m })
}

func (g *Group) close() {
	for _, m := range g.Members() {
		m.Crash()
	}
}

// Members returns all members.
func (g *Group) Members() []*Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]*Member(nil), g.members...)
}

// Primary returns the member that leads, or nil.
func (g *Group) Primary() *Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range g.members {
		if m.primary && !m.down {
			return m
		}
	}
	return nil
}

// Committed returns how often the write of a request was kept.
func (g *Group) Committed(id string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.committed[id]
}

// Runs returns what the members ran.
func (g *Group) Runs() []Run {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]Run(nil), g.runs...)
}

// promote makes a member lead the next term with what it has received.
func (g *Group) promote(id string) bool {
	g.mu.Lock()
	var chosen *Member
	for _, m := range g.members {
		if m.ID == id && !m.down {
			chosen = m
		}
	}
	if chosen == nil || chosen.primary {
		g.mu.Unlock()
		return chosen != nil
	}
	g.mu.Unlock()
	time.AfterFunc(g.opts.PromoteTime, func() { g.takeLead(chosen) })
	return true
}

func (g *Group) takeLead(chosen *Member) {
	g.mu.Lock()
	chosen.receive()
	g.term++
	g.starts = append(g.starts, Place{Term: g.term, Number: uint64(len(chosen.log))})
	g.source = chosen
	for _, m := range g.members {
		m.primary, m.held = m == chosen, 0
		m.term = g.term
		if m != chosen {
			m.truncate(chosen)
		}
	}
	g.mu.Unlock()
	for _, m := range g.Members() {
		m.announce()
	}
}

// entryBody is a member's entry in the store.
type entryBody struct {
	Service  string `json:"service"`
	Address  string `json:"address"`
	Zone     string `json:"zone"`
	Version  string `json:"version"`
	Capacity int    `json:"capacity"`
	State    string `json:"state"`
	ColdLeft int    `json:"cold_left_ms"`
	Role     string `json:"db_role"`
	Sequence uint64 `json:"sequence"`
	// Born is the Unix millisecond of the member's start.
	Born int64 `json:"born"`
}

// softwareVersion is what the members' entries name.
const softwareVersion = "v1"

// announce writes the member's entry.
func (m *Member) announce() {
	m.group.mu.Lock()
	m.sequence++
	body := entryBody{
		Service: m.group.service, Address: m.advertised, Zone: m.zone, Version: softwareVersion, Capacity: m.group.opts.Slots,
		State: "ready", Role: "replica", Sequence: m.sequence, Born: m.born,
	}
	if m.leaving {
		body.State = "draining"
	}
	if m.primary {
		body.Role = "primary"
	}
	down := m.down
	m.group.mu.Unlock()
	if down {
		return
	}
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	m.group.platform.Store.Put(memberKey(m.ID), data)
}

// Lapse removes the member's entry, as silence does, and Announce brings it
// back.
func (m *Member) Lapse() { m.group.platform.Store.Delete(memberKey(m.ID)) }

// Announce writes the member's entry again.
func (m *Member) Announce() { m.announce() }

// Drain announces that the member leaves.
func (m *Member) Drain() {
	m.group.mu.Lock()
	m.leaving = true
	m.group.mu.Unlock()
	m.announce()
}

// Term returns the newest term.
func (g *Group) Term() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.term
}

// Commit returns where a request's write was kept last; zero for one that was
// not kept.
func (g *Group) Commit(id string) Place {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.commits[id]
}

// Starts returns, for each promotion, the new term and the end of the log that
// it started from.
func (g *Group) Starts() []Place {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]Place(nil), g.starts...)
}

// memberPrefix is where members keep their entries.
const memberPrefix = "servers/"

func memberKey(id string) string { return memberPrefix + id }
