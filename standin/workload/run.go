package workload

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Entry is one address for callers.
type Entry struct {
	Address string
	// Dial opens connections; nil means the system's network.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
}

// Options describe a load.
type Options struct {
	Spec     Spec
	Entries  []Entry
	Callers  int
	Duration time.Duration
	Seed     uint64
	// Upstreams are the members' addresses, for the check of their contents.
	Upstreams []string
}

// run is a load in progress.
type run struct {
	spec      Spec
	entries   []Entry
	checker   *Checker
	readTime  *latencies
	writeTime *latencies
	gap       *gapMeter

	mu     sync.Mutex
	errors map[string]int
}

// note counts an error by its text, for the report.
func (r *run) note(err error) {
	const maxKinds = 200
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.errors) < maxKinds || r.errors[err.Error()] > 0 {
		r.errors[err.Error()]++
	}
}

// Load is a running load.
type Load struct {
	opts Options
	run  *run
	done chan struct{}
}

// Start begins a load. It ends after its duration or with the context.
func Start(ctx context.Context, opts Options) *Load {
	l := &Load{opts: opts, done: make(chan struct{}), run: &run{
		spec: opts.Spec, entries: opts.Entries, checker: NewChecker(),
		readTime: newLatencies(), writeTime: newLatencies(),
		gap: newGapMeter(), errors: make(map[string]int),
	}}
	ctx, cancel := context.WithTimeout(ctx, opts.Duration)
	var wg sync.WaitGroup
	services := opts.Spec.ServiceNames()
	for i := range opts.Callers {
		c := &caller{
			run: l.run, id: i, entry: i, own: make(map[string][]string),
			rng:     rand.New(rand.NewPCG(opts.Seed, uint64(i))),
			service: services[i%len(services)],
			team:    opts.Spec.Teams[i%len(opts.Spec.Teams)],
		}
		wg.Go(func() { c.loop(ctx) })
	}
	go func() {
		wg.Wait()
		cancel()
		close(l.done)
	}()
	return l
}

// Fault tells the load that a service's primary failed now.
func (l *Load) Fault(service string) { l.run.gap.fault(service, time.Now()) }

// Progress returns the counts so far.
func (l *Load) Progress() (Violations, Counts) { return l.run.checker.Results() }

// Wait waits for the end of the load and checks the upstreams' contents.
func (l *Load) Wait(ctx context.Context) (*Report, error) {
	<-l.done
	rows, reads, err := readContents(ctx, l.opts.Spec.ServiceNames(), l.opts.Upstreams)
	if err != nil {
		return nil, err
	}
	l.run.checker.CheckContents(rows)
	return l.report(reads), nil
}
