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

// Options describe a run.
type Options struct {
	// Program is the path of the dotterelswitch binary.
	Program string
	// Dir takes settings files and logs.
	Dir            string
	Seed           uint64
	Hosts, Callers int
	// Groups is how many database groups of three members there are.
	Groups int
	// Length is how long faults come.
	Length time.Duration
	// Plan replaces the plan of the seed, for tests.
	Plan []Event
}

// Report is what a run saw.
type Report struct {
	Seed     uint64   `json:"seed"`
	Requests int      `json:"requests"`
	Served   int      `json:"served"`
	Lost     int      `json:"lost"`
	Faults   []string `json:"faults"`
	// Findings are the promises that were broken.
	Findings []string `json:"findings"`
}

// The groups' members are like the archive's, with short times.
const (
	members        = 3
	slots          = 2
	maxConnections = 16
	work           = 2 * time.Millisecond
	lag            = 10 * time.Millisecond
	promoteTime    = 150 * time.Millisecond
	target         = 500 * time.Millisecond
	idleTime       = 3 * time.Second
)

var zones = []string{"zone-a", "zone-b", "zone-c"}

// run is one soak under way.
type run struct {
	Options
	plan     []Event
	platform *lineplatform.Platform
	groups   []*lineplatform.Group
	proxies  *proxies
	fleet    []*process
	found    findings
	routes   *routeWatch

	// mu guards stops, the planned ones that have to cut nobody.
	mu    sync.Mutex
	stops []stop
}

// Run carries out one soak.
func Run(ctx context.Context, o Options) (*Report, error) {
	s := &run{Options: o, plan: o.Plan, proxies: newProxies()}
	if s.plan == nil {
		s.plan = NewPlan(o.Seed, o.Length)
	}
	defer s.end()
	if err := s.begin(); err != nil {
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
	s.inject(ctx)
	if err := s.awaitService("after the faults"); err != nil {
		s.found.add("%v", err)
	}
	endLoad()
	wg.Wait()
	return s.report(callers), nil
}

// begin starts the platform and the hosts.
func (s *run) begin() error {
	p, err := lineplatform.Start()
	if err != nil {
		return err
	}
	s.platform = p
	for n := range s.Groups {
		g, err := p.AddGroup(fmt.Sprintf("group%d", n), lineplatform.Options{
			Members: members, Slots: slots, MaxConnections: maxConnections, ServiceTime: work, ReplicationLag: lag,
			PromotionTime: promoteTime, Zones: zones, AdvertisedAddress: s.proxies.front,
		})
		if err != nil {
			return err
		}
		s.groups = append(s.groups, g)
	}
	for n := range s.Hosts {
		h, err := newProcess(n, s.Program, s.Dir, p, &s.found)
		if err != nil {
			return err
		}
		s.fleet = append(s.fleet, h)
	}
	s.routes = newRouteWatch(s.platform, s.fleet, &s.found)
	s.routes.change()
	for _, h := range s.fleet {
		if err := h.start(); err != nil {
			return err
		}
	}
	return nil
}

// end stops everything that the run started.
func (s *run) end() {
	for _, h := range s.fleet {
		h.end()
	}
	s.proxies.close()
	if s.platform != nil {
		s.platform.Close()
	}
}

func (s *run) startCallers(ctx context.Context, wg *sync.WaitGroup) []*caller {
	var out []*caller
	for n := range s.Callers {
		c := &caller{
			name: fmt.Sprintf("c%d", n), fleet: s.fleet, rng: rand.New(rand.NewPCG(s.Seed, uint64(n))),
			group: n % s.Groups, team: callerTeams[n%len(callerTeams)],
		}
		out = append(out, c)
		wg.Go(func() { c.run(ctx) })
	}
	return out
}

// inject carries out the plan and waits until its last fault is over.
func (s *run) inject(ctx context.Context) {
	began := time.Now()
	var wg sync.WaitGroup
	for _, e := range s.plan {
		select {
		case <-ctx.Done():
		case <-time.After(time.Until(began.Add(e.At))):
			wg.Go(func() { s.carryOut(e) })
		}
	}
	wg.Wait()
}

// report checks what was seen.
func (s *run) report(callers []*caller) *Report {
	r := &Report{Seed: s.Seed}
	for _, e := range s.plan {
		r.Faults = append(r.Faults, e.String())
	}
	var evidences []evidence
	var all []history
	for n, g := range s.groups {
		var histories []history
		for _, c := range callers {
			if c.group == n {
				histories = append(histories, c.history)
			}
		}
		e := evidence{runs: g.Executions(), starts: g.TermStarts(), committed: g.CommitCount, commit: g.LastCommit}
		check(e, histories, &s.found)
		evidences, all = append(evidences, e), append(all, histories...)
		s.checkStops(histories, e.runs)
		for _, h := range histories {
			r.count(h)
		}
	}
	checkLimits(evidences, all, &s.found)
	if n := s.platform.TokenConflicts(); n > 0 {
		s.found.add("%d promotion calls came with another host's token", n)
	}
	s.checkLogs()
	r.Findings = s.found.all()
	return r
}

func (r *Report) count(h history) {
	for _, q := range h.requests {
		r.Requests++
		if q.ok() {
			r.Served++
		}
		if q.lost {
			r.Lost++
		}
	}
}

// checkLogs finds the traces of a program's own failure.
func (s *run) checkLogs() {
	for _, h := range s.fleet {
		text, err := os.ReadFile(h.logPath())
		if err != nil {
			s.found.add("%s: %v", h.name, err)
			continue
		}
		for _, sign := range []string{"panic:", "WARNING: DATA RACE", "fatal error:"} {
			if bytes.Contains(text, []byte(sign)) {
				s.found.add("%s logged %q, see %s", h.name, sign, filepath.Base(h.logPath()))
			}
		}
	}
}
