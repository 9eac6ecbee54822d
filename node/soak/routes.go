package soak

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/dotterelswitch/dotterelswitch/standin/linecaller"
	"github.com/dotterelswitch/dotterelswitch/standin/lineplatform"
)

const (
	// routePoll is how often each host is asked for the route of the day.
	routePoll = 150 * time.Millisecond
	// backTime is how long after a new version was seen an older one may show.
	backTime = 250 * time.Millisecond
)

// routeWatch changes the configuration and sees that no host goes back to an
// older one. Each version has one route that no other has.
type routeWatch struct {
	platform *lineplatform.Platform
	fleet    []*process
	found    *findings

	// mu guards the fields below.
	mu      sync.Mutex
	version int
}

func newRouteWatch(p *lineplatform.Platform, fleet []*process, f *findings) *routeWatch {
	return &routeWatch{platform: p, fleet: fleet, found: f}
}

// databaseOf returns the name of a group's database.
func databaseOf(group int, database string) string { return fmt.Sprintf("%s-%d", database, group) }

func only(version int) string { return fmt.Sprintf("only-%d", version) }

// change puts the next version in force.
func (w *routeWatch) change() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version++
	var routes []lineplatform.Route
	for n, service := range w.platform.Services() {
		base := lineplatform.Route{Service: service, StatementTimeout: statementTime, TargetLatency: target, Priority: 1}
		for database, consistency := range map[string]string{strict: "primary", bounded: "bounded_staleness", own: "read_your_writes"} {
			r := base
			r.Database, r.Consistency, r.MaxStaleness = databaseOf(n, database), consistency, staleness[database]
			routes = append(routes, r)
		}
		if n == 0 {
			r := base
			r.Database, r.Consistency = only(w.version), "primary"
			routes = append(routes, r)
		}
	}
	w.platform.SetTeams(teamsOf(w.version)...)
	w.platform.Configure(routes, idleTime)
}

func (w *routeWatch) newest() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.version
}

// seen is the newest version that one incarnation of a host has shown.
type seen struct {
	version, incarnation int
	at                   time.Time
}

// run watches all hosts until the context ends.
func (w *routeWatch) run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, h := range w.fleet {
		wg.Go(func() {
			var s seen
			for ctx.Err() == nil {
				w.look(h, &s)
				time.Sleep(routePoll)
			}
		})
	}
	wg.Wait()
}

// look asks a host for the routes of the newest versions.
func (w *routeWatch) look(h *process, s *seen) {
	newest := w.newest()
	for version := newest; version > max(newest-2, 0); version-- {
		incarnation, sent := h.running(), time.Now()
		if !hasRoute(h, version) || h.running() != incarnation {
			continue
		}
		switch {
		case s.incarnation != incarnation || version > s.version:
			*s = seen{version: version, incarnation: incarnation, at: time.Now()}
		case version < s.version && sent.Sub(s.at) > backTime:
			w.found.add("%s went back from version %d to %d", h.name, s.version, version)
		}
	}
}

// hasRoute reports whether a host has the route of a version.
func hasRoute(h *process, version int) bool {
	session, err := linecaller.Open(h.caller, only(version), "watch", answerTimeout)
	if err != nil {
		return false
	}
	session.Close()
	return true
}

// lacksRoute reports whether a host refuses the route of a version.
func lacksRoute(h *process, version int) bool {
	_, err := linecaller.Open(h.caller, only(version), "watch", answerTimeout)
	var refused *linecaller.RefusedError
	return errors.As(err, &refused) && refused.Code() == "NODB"
}
