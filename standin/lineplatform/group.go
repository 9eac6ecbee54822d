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
	// ServiceTime is how long a login, a read, a write or a commit occupies a slot.
	ServiceTime time.Duration
	// ReplicationLag is how long after the primary a replica gets a commit.
	ReplicationLag time.Duration
	// PromotionTime is how long a promotion takes.
	PromotionTime time.Duration
	Zones         []string
	// SyncReplicas is how many running replicas must have received a commit before it is
	// acknowledged.
	SyncReplicas int
	// AdvertisedAddress maps a member's address to the one in its store entry, such as
	// that of a proxy. If nil, the entry has the member's own address.
	AdvertisedAddress func(address string) (string, error)
}

// logEntry is one commit in a member's log.
type logEntry struct {
	term, offset uint64
	committedAt  time.Time
	writes       []write
}

// write is one item that a commit stores.
type write struct{ statementID, item, value string }

// Execution records one statement that a member executed.
type Execution struct {
	ID, Member, Text string
	// Position is the end of the member's log at that time.
	Position string
	// Row is the result of a read.
	Row string
	// TxID is unique to the transaction within the group; zero outside a transaction.
	TxID uint64
	// SessionValues are the values that SET gave the connection, sorted by name.
	SessionValues string
	// Shape is the text that PREPARE gave a prepared statement.
	Shape string
	// Team is the team for which the connection was opened.
	Team       string
	ExecutedAt time.Time
}

// Position is a position in a group's log.
type Position struct{ Term, Offset uint64 }

// ParsePosition parses the TERM.OFFSET form that String returns.
func ParsePosition(text string) (Position, error) {
	termText, offsetText, _ := strings.Cut(text, ".")
	term, err := parseUint(termText)
	if err != nil {
		return Position{}, err
	}
	offset, err := parseUint(offsetText)
	if err != nil {
		return Position{}, err
	}
	return Position{Term: term, Offset: offset}, nil
}

func (p Position) String() string {
	return strconv.FormatUint(p.Term, 10) + "." + strconv.FormatUint(p.Offset, 10)
}

// Group is one database group. Its mutex guards the data of all members.
type Group struct {
	platform *Platform
	service  string
	opts     Options

	mu      sync.Mutex
	term    uint64
	members []*Member
	// replicationSource is the latest primary. Replicas copy its log even after it
	// stepped down.
	replicationSource *Member
	executions        []Execution
	// commitCounts holds how many commits contain the write of each statement ID.
	commitCounts map[string]int
	// lastCommits holds the log position of the latest of these commits.
	lastCommits map[string]Position
	// termStarts holds, for each promotion, the new term and the end of the new
	// primary's log. Entries above that offset were rolled back.
	termStarts []Position
	// rollbackHeld keeps replicas that know the new term from rolling back.
	rollbackHeld     bool
	lastTxID         uint64
	lastMemberNumber int
}

// AddGroup starts a group whose first member is the primary.
func (p *Platform) AddGroup(service string, o Options) (*Group, error) {
	g := &Group{platform: p, service: service, opts: o, term: 1, commitCounts: map[string]int{}, lastCommits: map[string]Position{}}
	for range o.Members {
		if _, err := g.AddMember(); err != nil {
			g.close()
			return nil, err
		}
	}
	g.mu.Lock()
	g.members[0].primary, g.replicationSource = true, g.members[0]
	g.mu.Unlock()
	p.mu.Lock()
	p.groups[service] = g
	p.mu.Unlock()
	for _, m := range g.Members() {
		m.register()
	}
	return g, nil
}

// AddMember starts one more member, as a replica.
func (g *Group) AddMember() (*Member, error) {
	g.mu.Lock()
	g.lastMemberNumber++
	n := g.lastMemberNumber
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

func (g *Group) advertisedAddress(address string) (string, error) {
	if g.opts.AdvertisedAddress == nil {
		return address, nil
	}
	return g.opts.AdvertisedAddress(address)
}

// Remove stops a draining member, deletes its entry and removes it from the group.
func (g *Group) Remove(m *Member) {
	m.Crash()
	m.Deregister()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.members = slices.DeleteFunc(g.members, func(x *Member) bool { return x == m })
}

func (g *Group) close() {
	for _, m := range g.Members() {
		m.Crash()
	}
}

func (g *Group) Members() []*Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]*Member(nil), g.members...)
}

// Primary returns the running member that acts as primary, or nil.
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

// CommitCount returns how many commits contain the write of a statement.
func (g *Group) CommitCount(id string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.commitCounts[id]
}

// Executions returns the statements that the members executed, in order.
func (g *Group) Executions() []Execution {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]Execution(nil), g.executions...)
}

// promote starts to make a member the primary of the next term. It returns false
// if the member is down or unknown.
func (g *Group) promote(id string) bool {
	g.mu.Lock()
	var candidate *Member
	for _, m := range g.members {
		if m.ID == id && !m.down {
			candidate = m
		}
	}
	if candidate == nil || candidate.primary {
		g.mu.Unlock()
		return candidate != nil
	}
	g.mu.Unlock()
	time.AfterFunc(g.opts.PromotionTime, func() { g.completePromotion(candidate) })
	return true
}

// Promote makes a member the primary, as a call of the platform does.
func (g *Group) Promote(m *Member) bool { return g.promote(m.ID) }

// SetRollbackHeld keeps replicas from rolling back and receiving after the next promotion,
// or lets them do so.
func (g *Group) SetRollbackHeld(on bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.rollbackHeld = on
}

// completePromotion makes the member the primary with the log that it has
// replicated, and truncates the logs of the others to match.
func (g *Group) completePromotion(candidate *Member) {
	g.mu.Lock()
	candidate.replicate()
	g.term++
	g.termStarts = append(g.termStarts, Position{Term: g.term, Offset: uint64(len(candidate.log))})
	g.replicationSource = candidate
	for _, m := range g.members {
		m.primary, m.pausedTerm = m == candidate, 0
		m.term = g.term
		if m != candidate && !g.rollbackHeld {
			m.dropDivergent(candidate)
		}
	}
	g.mu.Unlock()
	for _, m := range g.Members() {
		m.register()
	}
}

// registrationBody is a member's entry in the store.
type registrationBody struct {
	Service    string `json:"service"`
	Address    string `json:"address"`
	Zone       string `json:"zone"`
	Version    string `json:"version"`
	Capacity   int    `json:"capacity"`
	State      string `json:"state"`
	ColdLeftMS int    `json:"cold_left_ms"`
	Role       string `json:"db_role"`
	Sequence   uint64 `json:"sequence"`
	// BornMS is the member's start time as Unix milliseconds.
	BornMS int64 `json:"born"`
}

// softwareVersion is the version in the members' entries.
const softwareVersion = "v1"

// register writes the entry of a running member, with the next sequence number.
func (m *Member) register() {
	m.group.mu.Lock()
	m.sequence++
	body := registrationBody{
		Service: m.group.service, Address: m.advertisedAddress, Zone: m.zone, Version: softwareVersion, Capacity: m.group.opts.Slots,
		State: "ready", Role: "replica", Sequence: m.sequence, BornMS: m.startedAtMS,
	}
	if m.draining {
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

// Deregister deletes the member's entry, as its expiry does.
func (m *Member) Deregister() { m.group.platform.Store.Delete(memberKey(m.ID)) }

// Register writes the member's entry again.
func (m *Member) Register() { m.register() }

// Drain marks the member's entry as draining.
func (m *Member) Drain() {
	m.group.mu.Lock()
	m.draining = true
	m.group.mu.Unlock()
	m.register()
}

// Term returns the latest term.
func (g *Group) Term() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.term
}

// LastCommit returns the position of the latest commit that contains a statement's
// write, or zero if there is none.
func (g *Group) LastCommit(id string) Position {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.lastCommits[id]
}

// TermStarts returns, for each promotion, the new term and the end of the new
// primary's log.
func (g *Group) TermStarts() []Position {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]Position(nil), g.termStarts...)
}

// memberPrefix is the store prefix of the members' entries.
const memberPrefix = "servers/"

func memberKey(id string) string { return memberPrefix + id }
