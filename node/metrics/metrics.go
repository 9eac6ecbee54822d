// Package metrics reports what a host does, by tally, in Prometheus text.
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

// otherTeam is the label of the teams past the limit.
const otherTeam = "other"

// reportInterval is how often counters reach the reporter.
const reportInterval = time.Second

// Metrics holds a host's measurements. It is safe for concurrent use.
type Metrics struct {
	scope    tally.Scope
	closer   io.Closer
	reporter prometheus.Reporter
	maxTeams int

	// mu guards the fields below.
	mu     sync.Mutex
	teams  map[string]bool
	scopes map[scopeKey]*requestScope
}

// scopeKey is one combination of labels.
type scopeKey struct{ team, class string }

// requestScope holds the histograms of one combination of labels.
type requestScope struct {
	queue, service, whole tally.Histogram
	scope                 tally.Scope
}

// buckets are the histograms' bounds: 100 µs to about 26 s by factors of two.
var buckets = tally.MustMakeExponentialDurationBuckets(100*time.Microsecond, 2, 19)

// New returns the metrics of a host. At most maxTeams teams have labels of
// their own, in order of their first request; the rest share one.
func New(maxTeams int) *Metrics {
	registry := prom.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{
		DefaultTimerType: prometheus.HistogramTimerType, Registerer: registry, Gatherer: registry,
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "dotterelswitch", CachedReporter: reporter, Separator: prometheus.DefaultSeparator,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Metrics{
		scope: scope, closer: closer, reporter: reporter, maxTeams: maxTeams,
		teams: make(map[string]bool), scopes: make(map[scopeKey]*requestScope),
	}
}

// Handler serves the metrics as text.
func (m *Metrics) Handler() http.Handler { return m.reporter.HTTPHandler() }

// Close stops the reports.
func (m *Metrics) Close() { _ = m.closer.Close() }

// Request records one finished request. Outcome is its name in the vocabulary.
func (m *Metrics) Request(team, class, outcome string, queue, service, whole time.Duration) {
	rs := m.requestScope(team, class)
	rs.queue.RecordDuration(queue)
	rs.service.RecordDuration(service)
	rs.whole.RecordDuration(whole)
	rs.scope.Tagged(map[string]string{"outcome": outcome}).Counter("requests").Inc(1)
}

// CountTeam adds one to a counter of a team; teams past the limit share a label.
func (m *Metrics) CountTeam(name, team string, label Label) {
	m.mu.Lock()
	team = m.labelOf(team)
	m.mu.Unlock()
	m.Count(name, Label{Name: "team", Value: team}, label)
}

// labelOf returns the label of a team. It is called with mu held.
func (m *Metrics) labelOf(team string) string {
	if m.teams[team] {
		return team
	}
	if len(m.teams) >= m.maxTeams {
		return otherTeam
	}
	m.teams[team] = true
	return team
}

func (m *Metrics) requestScope(team, class string) *requestScope {
	m.mu.Lock()
	defer m.mu.Unlock()
	team = m.labelOf(team)
	key := scopeKey{team, class}
	rs, found := m.scopes[key]
	if !found {
		s := m.scope.Tagged(map[string]string{"team": team, "class": class})
		rs = &requestScope{
			scope: s, queue: s.Histogram("queue_seconds", buckets),
			service: s.Histogram("service_seconds", buckets), whole: s.Histogram("whole_seconds", buckets),
		}
		m.scopes[key] = rs
	}
	return rs
}

// Gauge sets a host-wide value.
func (m *Metrics) Gauge(name string, value float64) { m.scope.Gauge(name).Update(value) }

// Label tells the values of one metric apart.
type Label struct{ Name, Value string }

// Count adds one to a counter. Labels must be few, and their values too.
func (m *Metrics) Count(name string, labels ...Label) { m.Add(name, 1, labels...) }

// Add adds to a counter. Labels must be few, and their values too.
func (m *Metrics) Add(name string, n int, labels ...Label) {
	tags := make(map[string]string, len(labels))
	for _, l := range labels {
		tags[l.Name] = l.Value
	}
	m.scope.Tagged(tags).Counter(name).Inc(int64(n))
}

// ServiceGauge sets a value of one service.
func (m *Metrics) ServiceGauge(name, service string, value float64) {
	m.scope.Tagged(map[string]string{"service": service}).Gauge(name).Update(value)
}
