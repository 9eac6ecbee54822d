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

// routeMonitor publishes configurations and checks that no host reverts to an older
// one. Each version has one route that no other version has.
type routeMonitor struct {
	platform *lineplatform.Platform
	hosts    []*hostProcess
	findings *findings

	// mu guards the fields below.
	mu      sync.Mutex
	version int
}

func newRouteMonitor(p *lineplatform.Platform, fleet []*hostProcess, f *findings) *routeMonitor {
	return &routeMonitor{platform: p, hosts: fleet, findings: f}
}

func databaseOf(group int, database string) string { return fmt.Sprintf("%s-%d", database, group) }

// versionDatabase returns the database that only one version has a route for.
func versionDatabase(version int) string { return fmt.Sprintf("only-%d", version) }

// publishNext publishes the next version of the configuration.
func (m *routeMonitor) publishNext() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.version++
	var routes []lineplatform.Route
	for n, service := range m.platform.Services() {
		base := lineplatform.Route{Service: service, StatementTimeout: statementTimeout, TargetLatency: targetLatency, Priority: 1}
		for database, consistency := range map[string]string{strictDatabase: "primary", boundedDatabase: "bounded_staleness", readYourWritesDatabase: "read_your_writes"} {
			r := base
			r.Database, r.Consistency, r.MaxStaleness = databaseOf(n, database), consistency, maxStaleness[database]
			routes = append(routes, r)
		}
		if n == 0 {
			r := base
			r.Database, r.Consistency = versionDatabase(m.version), "primary"
			routes = append(routes, r)
		}
	}
	m.platform.SetTeams(teamsOf(m.version)...)
	m.platform.Configure(routes, txIdleTimeout)
}

func (m *routeMonitor) newestVersion() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.version
}

// observedVersion is the newest version that an incarnation of a host has served.
type observedVersion struct {
	version, incarnation int
	at                   time.Time
}

// run polls all hosts until the context is cancelled.
func (m *routeMonitor) run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, h := range m.hosts {
		wg.Go(func() {
			var last observedVersion
			for ctx.Err() == nil {
				m.poll(h, &last)
				time.Sleep(routePollInterval)
			}
		})
	}
	wg.Wait()
}

// poll checks whether a host serves the routes of the newest versions.
func (m *routeMonitor) poll(h *hostProcess, last *observedVersion) {
	newest := m.newestVersion()
	for version := newest; version > max(newest-2, 0); version-- {
		incarnation, sent := h.currentIncarnation(), time.Now()
		if !hasRoute(h, version) || h.currentIncarnation() != incarnation {
			continue
		}
		switch {
		case last.incarnation != incarnation || version > last.version:
			*last = observedVersion{version: version, incarnation: incarnation, at: time.Now()}
		case version < last.version && sent.Sub(last.at) > olderRouteTolerance:
			m.findings.add("%s went back from version %d to %d", h.name, last.version, version)
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
