package workload

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Entry is an address that callers connect to.
type Entry struct {
	Address string
	// Dial opens connections; nil selects the default dialer.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
}

type Options struct {
	Spec     Spec
	Entries  []Entry
	Callers  int
	Duration time.Duration
	Seed     uint64
	// Upstreams are the addresses of the members whose contents are checked.
	Upstreams []string
}

// run is the state that the callers of a load share.
type run struct {
	spec        Spec
	entries     []Entry
	checker     *Checker
	readTime    *latencies
	writeTime   *latencies
	failoverGap *failoverGapMeter

	mu     sync.Mutex
	errors map[string]int
}

// countError counts an error by its text.
func (r *run) countError(err error) {
	const maxErrorTexts = 200
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.errors) < maxErrorTexts || r.errors[err.Error()] > 0 {
		r.errors[err.Error()]++
	}
}

// Load is a load in progress.
type Load struct {
	opts Options
	run  *run
	done chan struct{}
}

// Start starts a load, which ends after opts.Duration or with the context.
func Start(ctx context.Context, opts Options) *Load {
	l := &Load{opts: opts, done: make(chan struct{}), run: &run{
		spec: opts.Spec, entries: opts.Entries, checker: NewChecker(),
		readTime: newLatencies(), writeTime: newLatencies(),
		failoverGap: newFailoverGapMeter(), errors: make(map[string]int),
	}}
	ctx, cancel := context.WithTimeout(ctx, opts.Duration)
	var wg sync.WaitGroup
	services := opts.Spec.ServiceNames()
	for i := range opts.Callers {
		c := &caller{
			run: l.run, id: i, entryIndex: i, ownWrites: make(map[string][]string),
			rng:     rand.New(rand.NewPCG(opts.Seed, uint64(i))),
			service: services[i%len(services)],
			team:    opts.Spec.Teams[i%len(opts.Spec.Teams)],
		}
		wg.Go(func() { c.sendRequests(ctx) })
	}
	go func() {
		wg.Wait()
		cancel()
		close(l.done)
	}()
	return l
}

// RecordPrimaryFailure records that a service's primary has failed now.
func (l *Load) RecordPrimaryFailure(service string) {
	l.run.failoverGap.recordFailure(service, time.Now())
}

// Progress returns the counts so far.
func (l *Load) Progress() (Violations, Counts) { return l.run.checker.Results() }

// Wait waits for the end of the load, checks the contents of the upstreams and
// returns the report.
func (l *Load) Wait(ctx context.Context) (*Report, error) {
	<-l.done
	rows, reads, err := readContents(ctx, l.opts.Spec.ServiceNames(), l.opts.Upstreams)
	if err != nil {
		return nil, err
	}
	l.run.checker.CheckContents(rows)
	return l.report(reads), nil
}
