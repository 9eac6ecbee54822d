// Package metrics collects a host's metrics with tally and serves them in the
// Prometheus text format.
package metrics

import (
	"io"
	"net/http"
	"sync"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// otherLabel is the label that teams, or services, above the limit share.
const otherLabel = "other"

// reportInterval is how often tally passes values to the Prometheus reporter.
const reportInterval = time.Second

// Metrics holds a host's metrics. It is safe for concurrent use.
type Metrics struct {
	scope    tally.Scope
	closer   io.Closer
	reporter prometheus.Reporter
	limits   Limits

	// mu guards the fields below.
	mu        sync.Mutex
	teams     map[string]bool
	databases map[string]bool
	services  map[string]bool
	scopes    map[scopeKey]*requestScope
}

type scopeKey struct{ team, class string }

// requestScope holds the metrics of one combination of labels.
type requestScope struct {
	queue, service, total tally.Histogram
	scope                 tally.Scope
}

// buckets are the bucket bounds of the histograms, from 100 µs to about 26 s.
var buckets = tally.MustMakeExponentialDurationBuckets(100*time.Microsecond, 2, 19)

// Limits bounds the labels of a host's metrics. The first names that occur get a label of
// their own; the others share one.
type Limits struct {
	Teams, Databases, Services int
}

// New returns the metrics of a host.
func New(limits Limits) *Metrics {
	registry := prom.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{
		DefaultTimerType: prometheus.HistogramTimerType, Registerer: registry, Gatherer: registry,
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "dotterelswitch", CachedReporter: reporter, Separator: prometheus.DefaultSeparator,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Metrics{
		scope: scope, closer: closer, reporter: reporter, limits: limits,
		teams: make(map[string]bool), databases: make(map[string]bool), services: make(map[string]bool), scopes: make(map[scopeKey]*requestScope),
	}
}

// Handler serves the metrics in the Prometheus text format.
func (m *Metrics) Handler() http.Handler { return m.reporter.HTTPHandler() }

// Close reports the remaining values and stops.
func (m *Metrics) Close() { _ = m.closer.Close() }

// RecordRequest records the outcome and the durations of one finished request of a team,
// or on a database if the caller has no team.
func (m *Metrics) RecordRequest(team, database, class, outcome string, queue, service, total time.Duration) {
	rs := m.requestScope(team, database, class)
	rs.queue.RecordDuration(queue)
	rs.service.RecordDuration(service)
	rs.total.RecordDuration(total)
	rs.scope.Tagged(map[string]string{"outcome": outcome}).Counter("requests").Inc(1)
}

// CountTeam increments a counter of a team; teams above the limit share a label.
func (m *Metrics) CountTeam(name, team string, label Label) {
	m.mu.Lock()
	team = labelOf(m.teams, m.limits.Teams, team)
	m.mu.Unlock()
	m.Count(name, Label{Name: "team", Value: team}, label)
}

// ServiceLabel returns the label of a service.
func (m *Metrics) ServiceLabel(service string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return labelOf(m.services, m.limits.Services, service)
}

// labelOf returns the label of a name, where own holds the names that have one of their own.
func labelOf(own map[string]bool, limit int, name string) string {
	if own[name] {
		return name
	}
	if len(own) >= limit {
		return otherLabel
	}
	own[name] = true
	return name
}

func (m *Metrics) requestScope(team, database, class string) *requestScope {
	m.mu.Lock()
	defer m.mu.Unlock()
	if team == "" {
		team = labelOf(m.databases, m.limits.Databases, database)
	} else {
		team = labelOf(m.teams, m.limits.Teams, team)
	}
	key := scopeKey{team, class}
	rs, found := m.scopes[key]
	if !found {
		s := m.scope.Tagged(map[string]string{"team": team, "class": class})
		rs = &requestScope{
			scope: s, queue: s.Histogram("queue_seconds", buckets),
			service: s.Histogram("service_seconds", buckets), total: s.Histogram("whole_seconds", buckets),
		}
		m.scopes[key] = rs
	}
	return rs
}

// Gauge sets a gauge without labels.
func (m *Metrics) Gauge(name string, value float64) { m.scope.Gauge(name).Update(value) }

// Label is a Prometheus label.
type Label struct{ Name, Value string }

// Count increments a counter. The labels must have few distinct values.
func (m *Metrics) Count(name string, labels ...Label) { m.Add(name, 1, labels...) }

// Add adds n to a counter. The labels must have few distinct values.
func (m *Metrics) Add(name string, n int, labels ...Label) {
	tags := make(map[string]string, len(labels))
	for _, l := range labels {
		tags[l.Name] = l.Value
	}
	m.scope.Tagged(tags).Counter(name).Inc(int64(n))
}

// ServiceGauge sets a gauge of a service, or of the services that share a label.
func (m *Metrics) ServiceGauge(name, label string, value float64) {
	m.scope.Tagged(map[string]string{"service": label}).Gauge(name).Update(value)
}
