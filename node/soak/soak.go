package soak

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/dotterelswitch/dotterelswitch/standin/lineplatform"
)

// Options configure a run.
type Options struct {
	// Program is the path of the dotterelswitch binary.
	Program string
	// Dir is the directory for settings files and logs.
	Dir            string
	Seed           uint64
	Hosts, Callers int
	// Groups is the number of database groups, of three members each.
	Groups int
	// FaultPeriod is the time in which faults are injected.
	FaultPeriod time.Duration
	// Plan overrides the plan that is derived from the seed, for tests.
	Plan []Event
}

// Report is the result of a run.
type Report struct {
	Seed     uint64   `json:"seed"`
	Requests int      `json:"requests"`
	Served   int      `json:"served"`
	Lost     int      `json:"lost"`
	Faults   []string `json:"faults"`
	// Findings describe the guarantees that were violated.
	Findings []string `json:"findings"`
}

// The database groups resemble those of the archive workload, with shorter times.
const (
	membersPerGroup = 3
	slots           = 2
	maxConnections  = 16
	serviceTime     = 2 * time.Millisecond
	replicationLag  = 10 * time.Millisecond
	promotionTime   = 150 * time.Millisecond
	targetLatency   = 500 * time.Millisecond
	txIdleTimeout   = 3 * time.Second
)

var zones = []string{"zone-a", "zone-b", "zone-c"}

// soakRun is a run in progress.
type soakRun struct {
	Options
	plan     []Event
	platform *lineplatform.Platform
	groups   []*lineplatform.Group
	proxies  *memberProxies
	hosts    []*hostProcess
	findings findings
	routes   *routeMonitor

	// mu guards stops.
	mu sync.Mutex
	// stops are the planned stops that must not interrupt any request.
	stops []plannedStop
}

// Run deploys the platform and the hosts, injects faults under load, and checks
// the recorded histories.
func Run(ctx context.Context, o Options) (*Report, error) {
	s := &soakRun{Options: o, plan: o.Plan, proxies: newMemberProxies(o.Seed)}
	if s.plan == nil {
		s.plan = NewPlan(o.Seed, o.FaultPeriod)
	}
	defer s.close()
	if err := s.start(); err != nil {
		return nil, err
	}
	if err := s.awaitService("at the start"); err != nil {
		return nil, err
	}
	load, endLoad := context.WithCancel(ctx)
	defer endLoad()
	var wg sync.WaitGroup
	callers := s.startCallers(load, &wg)
	wg.Go(func() { s.routes.run(load) })
	s.injectPlan(ctx)
	if err := s.awaitService("after the faults"); err != nil {
		s.findings.add("%v", err)
	}
	endLoad()
	wg.Wait()
	return s.report(callers), nil
}

func (s *soakRun) start() error {
	p, err := lineplatform.Start()
	if err != nil {
		return err
	}
	s.platform = p
	for n := range s.Groups {
		g, err := p.AddGroup(fmt.Sprintf("group%d", n), lineplatform.Options{
			Members: membersPerGroup, Slots: slots, MaxConnections: maxConnections, ServiceTime: serviceTime, ReplicationLag: replicationLag,
			PromotionTime: promotionTime, Zones: zones, AdvertisedAddress: s.proxies.addProxy,
		})
		if err != nil {
			return err
		}
		s.groups = append(s.groups, g)
		for n, row := range oddRows {
			g.Store(oddItem(n), row)
		}
	}
	for n := range s.Hosts {
		h, err := newHostProcess(n, s.Program, s.Dir, p, &s.findings)
		if err != nil {
			return err
		}
		s.hosts = append(s.hosts, h)
	}
	s.routes = newRouteMonitor(s.platform, s.hosts, &s.findings)
	s.routes.publishNext()
	for _, h := range s.hosts {
		if err := h.start(); err != nil {
			return err
		}
	}
	return nil
}

// close stops everything that the run started.
func (s *soakRun) close() {
	for _, h := range s.hosts {
		h.close()
	}
	s.proxies.close()
	if s.platform != nil {
		s.platform.Close()
	}
}

func (s *soakRun) startCallers(ctx context.Context, wg *sync.WaitGroup) []*caller {
	var out []*caller
	for n := range s.Callers {
		c := &caller{
			name: fmt.Sprintf("c%d", n), hosts: s.hosts, rng: rand.New(rand.NewPCG(s.Seed, uint64(n))), oddRNG: rand.New(rand.NewPCG(s.Seed, uint64(s.Callers+n))),
			group: n % s.Groups, team: callerTeams[n%len(callerTeams)],
		}
		out = append(out, c)
		wg.Go(func() { c.run(ctx) })
	}
	return out
}

// injectPlan injects the planned faults and waits until the last one has ended.
func (s *soakRun) injectPlan(ctx context.Context) {
	startedAt := time.Now()
	var wg sync.WaitGroup
	for _, e := range s.plan {
		select {
		case <-ctx.Done():
		case <-time.After(time.Until(startedAt.Add(e.Start))):
			wg.Go(func() { s.injectFault(e) })
		}
	}
	wg.Wait()
}

// report checks the recorded histories and returns the result.
func (s *soakRun) report(callers []*caller) *Report {
	r := &Report{Seed: s.Seed}
	for _, e := range s.plan {
		r.Faults = append(r.Faults, e.String())
	}
	var records []groupRecord
	var all []history
	for n, g := range s.groups {
		var histories []history
		for _, c := range callers {
			if c.group == n {
				histories = append(histories, c.history)
			}
		}
		record := groupRecord{runs: g.Executions(), termStarts: g.TermStarts(), commitCount: g.CommitCount, commitPosition: g.LastCommit}
		check(record, histories, &s.findings)
		records, all = append(records, record), append(all, histories...)
		s.checkStops(histories, record.runs)
		if len(record.termStarts) > 0 && keepsPrimaries(s.plan) {
			s.findings.add("a healthy primary of group%d was replaced %d times", n, len(record.termStarts))
		}
		for _, h := range histories {
			r.count(h)
		}
	}
	checkLimits(records, all, &s.findings)
	checkMessages(s.proxies.recorder.Messages(), all, &s.findings)
	if n := s.platform.TokenConflicts(); n > 0 {
		s.findings.add("%d promotion calls came with another host's token", n)
	}
	s.checkLogs()
	r.Findings = s.findings.all()
	return r
}

func (r *Report) count(h history) {
	for _, q := range h.requests {
		r.Requests++
		if q.ok() {
			r.Served++
		}
		if q.unanswered {
			r.Lost++
		}
	}
}

// checkLogs searches the hosts' logs for panics and data races.
func (s *soakRun) checkLogs() {
	for _, h := range s.hosts {
		text, err := os.ReadFile(h.logPath())
		if err != nil {
			s.findings.add("%s: %v", h.name, err)
			continue
		}
		for _, marker := range []string{"panic:", "WARNING: DATA RACE", "fatal error:"} {
			if bytes.Contains(text, []byte(marker)) {
				s.findings.add("%s logged %q, see %s", h.name, marker, filepath.Base(h.logPath()))
			}
		}
	}
}
