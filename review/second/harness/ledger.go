package harness

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/dotterelswitch/dotterelswitch/standin/linecaller"
	"github.com/dotterelswitch/dotterelswitch/standin/lineplatform"
)

// The names of the one service and its database.
const (
	Service  = "ledger"
	Database = "ledgerdb"
)

// heartbeatInterval is heartbeat_ms in the settings.
const heartbeatInterval = 1200 * time.Millisecond

// Ledger is a deployment with one service of three members with a synchronous replica, and
// callers that write to it on a primary route.
type Ledger struct {
	Platform  *lineplatform.Platform
	Group     *lineplatform.Group
	Promotion *PromotionAPI
	Hosts     []*Host
	// Views holds each host's path to the store, by the host's name.
	Views  map[string]*View
	site   Site
	record *Record
	stop   chan struct{}

	wg sync.WaitGroup

	mu   sync.Mutex
	acks []ack
	// sent holds when each write was sent.
	sent []time.Time
}

// ack is a write whose caller got a success.
type ack struct {
	id string
	at time.Time
}

// StartLedger starts the deployment and waits until its hosts are ready and have been for
// contact_ms.
func StartLedger(site Site, hosts int, record *Record, dir, program string) (*Ledger, error) {
	l := &Ledger{Views: map[string]*View{}, site: site, record: record, stop: make(chan struct{})}
	err := l.start(hosts, dir, program)
	if err != nil {
		l.Close()
	}
	return l, err
}

func (l *Ledger) start(hosts int, dir, program string) error {
	var err error
	if l.Platform, err = lineplatform.Start(); err != nil {
		return err
	}
	l.Group, err = l.Platform.AddGroup(Service, lineplatform.Options{
		Members: 3, Slots: l.site.Slots, MaxConnections: l.site.MaxConnections, ServiceTime: 4 * time.Millisecond, ReplicationLag: 20 * time.Millisecond,
		PromotionTime: l.site.Promotion, Zones: []string{"z1", "z2", "z3"}, SyncReplicas: 1,
	})
	if err != nil {
		return err
	}
	l.Platform.Configure([]lineplatform.Route{{
		Database: Database, Service: Service, Consistency: "primary", StatementTimeout: 800 * time.Millisecond, TargetLatency: 300 * time.Millisecond, Priority: 1,
	}}, 10*time.Second)
	if l.Promotion, err = NewPromotionAPI(l.Platform.Address(), l.record); err != nil {
		return err
	}
	zones := map[string]string{"z1": "r1", "z2": "r2", "z3": "r3"}
	for n := range hosts {
		name, zone := fmt.Sprintf("front-%d", n+1), fmt.Sprintf("z%d", n%3+1)
		view, err := NewView(l.Platform.Address())
		if err != nil {
			return err
		}
		l.Views[name] = view
		h, err := NewHost(HostOptions{
			Site: l.site, Name: name, Zone: zone, Region: zones[zone], Zones: zones, StoreAddress: view.Address(), PromotionAddress: l.Promotion.Address(),
			IP: IP(n), Dir: dir, Program: program,
		}, l.record)
		if err != nil {
			return err
		}
		if err := h.Start(); err != nil {
			return err
		}
		l.Hosts = append(l.Hosts, h)
	}
	if err := AwaitReady(l.Hosts, 15*time.Second); err != nil {
		return err
	}
	for n, m := range l.Group.Members() {
		time.AfterFunc(time.Duration(n)*400*time.Millisecond, func() { l.heartbeat(m) })
	}
	go l.followTerms()
	time.Sleep(l.site.Contact)
	return nil
}

// Close ends the processes and the stand-ins.
func (l *Ledger) Close() {
	close(l.stop)
	for _, h := range l.Hosts {
		h.Kill()
	}
	for _, v := range l.Views {
		v.Close()
	}
	if l.Promotion != nil {
		l.Promotion.Close()
	}
	if l.Platform != nil {
		l.Platform.Close()
	}
}

// heartbeat has a member write its entry about every heartbeat_ms.
func (l *Ledger) heartbeat(m *lineplatform.Member) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for !m.Removed() {
		select {
		case <-l.stop:
			return
		case <-ticker.C:
			m.Register()
		}
	}
}

// followTerms records the primary of each term.
func (l *Ledger) followTerms() {
	last := uint64(0)
	for ; ; time.Sleep(2 * time.Millisecond) {
		select {
		case <-l.stop:
			return
		default:
		}
		term := l.Group.Term()
		if term == last {
			continue
		}
		last = term
		name := "nobody"
		if p := l.Group.Primary(); p != nil {
			name = p.ID
		}
		l.record.Add("term %d: %s leads", term, name)
	}
}

// Write starts a caller that writes through a host until the end.
func (l *Ledger) Write(name string, host *Host, end time.Time) {
	l.wg.Go(func() {
		for round := 0; time.Now().Before(end); round++ {
			s, err := linecaller.Open(host.CallerAddress, Database, fmt.Sprintf("%s-%d", name, round), 2*time.Second)
			if err != nil {
				time.Sleep(100 * time.Millisecond)
				continue
			}
			l.writeOn(s, host, end)
			s.Close()
		}
	})
}

// writeOn writes on one session until the end or until an answer is missing.
func (l *Ledger) writeOn(s *linecaller.Session, host *Host, end time.Time) {
	for i := 0; time.Now().Before(end); i++ {
		text := fmt.Sprintf("STORE item%d value%d", i%10, i)
		l.record.Add("%s: sent %s %s", host.Name, s.NextID(), text)
		l.mu.Lock()
		l.sent = append(l.sent, time.Now())
		l.mu.Unlock()
		a, err := s.Run(text)
		now := time.Now()
		if err != nil {
			l.record.Add("no answer for %s: %v", a.ID, err)
			return
		}
		if a.Code != "" {
			l.record.Add("answer for %s: ERROR %s %s", a.ID, a.Code, a.Detail)
			time.Sleep(50 * time.Millisecond)
			continue
		}
		l.record.Add("answer for %s: COMPLETE %s", a.ID, a.Signature)
		l.mu.Lock()
		l.acks = append(l.acks, ack{a.ID, now})
		l.mu.Unlock()
	}
}

// Acknowledged returns how many writes were acknowledged between two moments.
func (l *Ledger) Acknowledged(from, to time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, a := range l.acks {
		if a.at.After(from) && a.at.Before(to) {
			n++
		}
	}
	return n
}

// Sent returns how many writes were sent between two moments.
func (l *Ledger) Sent(from, to time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, at := range l.sent {
		if at.After(from) && at.Before(to) {
			n++
		}
	}
	return n
}

// Await waits for the end of all callers.
func (l *Ledger) Await() { l.wg.Wait() }

// Release replaces the present primary: a new member starts a second before a moment, at
// which the primary announces that it leaves. It goes on serving for drain_ms and two
// seconds more.
func (l *Ledger) Release(at time.Time) (*lineplatform.Member, error) {
	time.Sleep(time.Until(at.Add(-time.Second)))
	added, err := l.Group.AddMember()
	if err != nil {
		return nil, err
	}
	added.Register()
	go l.heartbeat(added)
	l.record.Add("%s joins", added.ID)
	time.Sleep(time.Until(at))
	leaving := l.Group.Primary()
	if leaving == nil {
		return nil, fmt.Errorf("no primary to release")
	}
	l.record.Add("the primary %s is draining", leaving.ID)
	leaving.Drain()
	time.AfterFunc(l.site.Drain+2*time.Second, func() {
		l.record.Add("%s exits", leaving.ID)
		l.Group.Remove(leaving)
	})
	return leaving, nil
}

// LagBehind keeps a replica up to some time further behind than the others, until the end
// of the run.
func (l *Ledger) LagBehind(m *lineplatform.Member, extra time.Duration) {
	for {
		select {
		case <-l.stop:
			m.SetReplicationBlocked(false)
			return
		default:
		}
		m.SetReplicationBlocked(true)
		time.Sleep(extra)
		m.SetReplicationBlocked(false)
	}
}

// Lost reports the acknowledged commits that are not in the log of a member that was
// promoted: the rule LOST of a service with sync_replicas.
func (l *Ledger) Lost() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	starts := l.Group.TermStarts()
	for _, s := range starts {
		l.record.Add("term %d began with a log of %d entries", s.Term, s.Offset)
	}
	slices.SortFunc(l.acks, func(a, b ack) int { return a.at.Compare(b.at) })
	lost := 0
	for _, a := range l.acks {
		p := l.Group.LastCommit(a.id)
		for _, s := range starts {
			if s.Term <= p.Term {
				continue
			}
			if p.Offset > s.Offset {
				lost++
				l.record.AddAt(a.at, "LOST: %s was acknowledged; its commit %s is not in the log with which term %d began", a.id, p, s.Term)
			}
			break
		}
	}
	for _, e := range l.Group.Executions() {
		l.record.AddAt(e.ExecutedAt, "%s ran %s %s, its log ends at %s", e.Member, e.ID, e.Text, e.Position)
	}
	l.record.Add("%d writes acknowledged, %d of them lost", len(l.acks), lost)
	fmt.Printf("%d writes acknowledged, %d of them lost\n", len(l.acks), lost)
	return lost > 0
}
