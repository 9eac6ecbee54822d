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
	// routePollInterval is how often the routes of each host are checked.
	routePollInterval = 150 * time.Millisecond
	// olderRouteTolerance is how long after a newer version was observed a host may
	// still serve an older one.
	olderRouteTolerance = 250 * time.Millisecond
)

// routeWatch publishes configurations and checks that no host reverts to an older
// one. Each version has one route that no other version has.
type routeWatch struct {
	platform *lineplatform.Platform
	hosts    []*hostProcess
	findings *findings

	// mu guards the fields below.
	mu      sync.Mutex
	version int
}

func newRouteWatch(p *lineplatform.Platform, fleet []*hostProcess, f *findings) *routeWatch {
	return &routeWatch{platform: p, hosts: fleet, findings: f}
}

func databaseOf(group int, database string) string { return fmt.Sprintf("%s-%d", database, group) }

// versionDatabase returns the database that only one version has a route for.
func versionDatabase(version int) string { return fmt.Sprintf("only-%d", version) }

// publishNext publishes the next version of the configuration.
func (w *routeWatch) publishNext() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version++
	var routes []lineplatform.Route
	for n, service := range w.platform.Services() {
		base := lineplatform.Route{Service: service, StatementTimeout: statementTimeout, TargetLatency: targetLatency, Priority: 1}
		for database, consistency := range map[string]string{strictDatabase: "primary", boundedDatabase: "bounded_staleness", readYourWritesDatabase: "read_your_writes"} {
			r := base
			r.Database, r.Consistency, r.MaxStaleness = databaseOf(n, database), consistency, maxStaleness[database]
			routes = append(routes, r)
		}
		if n == 0 {
			r := base
			r.Database, r.Consistency = versionDatabase(w.version), "primary"
			routes = append(routes, r)
		}
	}
	w.platform.SetTeams(teamsOf(w.version)...)
	w.platform.Configure(routes, txIdleTimeout)
}

func (w *routeWatch) newestVersion() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.version
}

// observedVersion is the newest version that an incarnation of a host has served.
type observedVersion struct {
	version, incarnation int
	at                   time.Time
}

// run polls all hosts until the context is cancelled.
func (w *routeWatch) run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, h := range w.hosts {
		wg.Go(func() {
			var s observedVersion
			for ctx.Err() == nil {
				w.poll(h, &s)
				time.Sleep(routePollInterval)
			}
		})
	}
	wg.Wait()
}

// poll checks whether a host serves the routes of the newest versions.
func (w *routeWatch) poll(h *hostProcess, s *observedVersion) {
	newest := w.newestVersion()
	for version := newest; version > max(newest-2, 0); version-- {
		incarnation, sent := h.currentIncarnation(), time.Now()
		if !hasRoute(h, version) || h.currentIncarnation() != incarnation {
			continue
		}
		switch {
		case s.incarnation != incarnation || version > s.version:
			*s = observedVersion{version: version, incarnation: incarnation, at: time.Now()}
		case version < s.version && sent.Sub(s.at) > olderRouteTolerance:
			w.findings.add("%s went back from version %d to %d", h.name, s.version, version)
		}
	}
}

// hasRoute reports whether a host serves the route of a version.
func hasRoute(h *hostProcess, version int) bool {
	session, err := linecaller.Open(h.callerAddress, versionDatabase(version), "watch", answerTimeout)
	if err != nil {
		return false
	}
	session.Close()
	return true
}

// lacksRoute reports whether a host refuses the route of a version.
func lacksRoute(h *hostProcess, version int) bool {
	_, err := linecaller.Open(h.callerAddress, versionDatabase(version), "watch", answerTimeout)
	var refused *linecaller.RefusedError
	return errors.As(err, &refused) && refused.Code() == "NODB"
}
