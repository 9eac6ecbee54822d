package entry

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/connpool"
	"github.com/dotterelswitch/dotterelswitch/core/correlate"
	"github.com/dotterelswitch/dotterelswitch/core/outlier"
	"github.com/dotterelswitch/dotterelswitch/core/store"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
	"github.com/dotterelswitch/dotterelswitch/node/edge"
	"github.com/dotterelswitch/dotterelswitch/node/metrics"
	"github.com/dotterelswitch/dotterelswitch/node/promoter"
	"github.com/dotterelswitch/dotterelswitch/node/registry"
	"github.com/dotterelswitch/dotterelswitch/node/replicaset"
)

const (
	// maxTeamLabels, maxDatabaseLabels and maxServiceLabels bound the distinct labels of
	// metrics. Each combination of a team or database and a kind of statement has three
	// histograms of 4 KB for the life of the process; callers of a large fleet use a
	// thousand databases through each host.
	maxTeamLabels     = 50
	maxDatabaseLabels = 8
	maxServiceLabels  = 20
	// gaugeInterval is how often gauges are updated.
	gaugeInterval = 2 * time.Second
)

// hostMetrics records the metrics of a host.
type hostMetrics struct{ metrics *metrics.Metrics }

func newHostMetrics() *hostMetrics {
	return &hostMetrics{metrics: metrics.New(metrics.Limits{Teams: maxTeamLabels, Databases: maxDatabaseLabels, Services: maxServiceLabels})}
}

func (m *hostMetrics) handler() http.Handler { return m.metrics.Handler() }

// observe records a finished statement. Its label is the team, or the database if
// the caller has no team.
func (m *hostMetrics) observe(r edge.Record) {
	o := r.Outcome
	m.metrics.RecordRequest(r.Team, r.Database, r.Statement.Kind.String(), o.Answer.Code.String(), o.Waited, r.Elapsed-o.Waited, r.Elapsed)
	if r.Statement.Reads() && o.Member != "" {
		m.metrics.Count("reads", metrics.Label{Name: "member", Value: readTarget(o.Primary)})
	}
	if o.FailedRead != replicaset.NotFailed {
		m.metrics.Count("failed_reads", metrics.Label{Name: "result", Value: o.FailedRead.String()})
	}
	if o.Attempts > 1 {
		m.metrics.Count("retries", metrics.Label{Name: "kind", Value: r.Statement.Kind.String()})
	}
}

// storeCall counts a call to the platform's store.
func (m *hostMetrics) storeCall(call registry.StoreCall, result string) {
	m.metrics.Count("store_calls", metrics.Label{Name: "call", Value: string(call)}, metrics.Label{Name: "result", Value: result})
}

// rejectedStoreAnswer counts an answer of the store that was not that of its call.
func (m *hostMetrics) rejectedStoreAnswer(call string, reason store.Mismatch) {
	m.metrics.Count("platform_answers_rejected", metrics.Label{Name: "call", Value: call}, metrics.Label{Name: "reason", Value: string(reason)})
}

// promotion counts a promotion led by this host.
func (m *hostMetrics) promotion(service string, r promoter.Result) {
	m.metrics.Count("promotions", metrics.Label{Name: "service", Value: m.metrics.ServiceLabel(service)}, metrics.Label{Name: "result", Value: r.String()})
}

// operation counts an admitted or refused operation of a team.
func (m *hostMetrics) operation(team string, admitted bool) {
	result := "refused"
	if admitted {
		result = "admitted"
	}
	m.metrics.CountTeam("operations", team, metrics.Label{Name: "result", Value: result})
}

// connections adds connection counts: reused, opened, or evicted for another team.
func (m *hostMetrics) connections(service string, c connpool.Counts) {
	label := metrics.Label{Name: "service", Value: m.metrics.ServiceLabel(service)}
	m.metrics.Add("connections_found", c.Reused, label)
	m.metrics.Add("connections_opened", c.Opened, label)
	m.metrics.Add("connections_evicted", c.Evicted, label)
}

// dropped counts a waiting statement that was displaced, or refused before its deadline,
// by team and priority.
func (m *hostMetrics) dropped(d connpool.Dropped) {
	name := "statements_refused_early"
	if d.Displaced {
		name = "statements_displaced"
	}
	m.metrics.CountTeam(name, d.Waiter.Team, metrics.Label{Name: "priority", Value: strconv.Itoa(d.Waiter.Priority)})
}

// retryTimes adds the retry times told to refused statements, by priority class and upper
// bound, and the statements that came back at their moments.
func (m *hostMetrics) retryTimes(c replicaset.ReturnCounts) {
	c.Each(func(priority int, upTo time.Duration, n int) {
		m.metrics.Add("retry_times", n, metrics.Label{Name: "priority", Value: strconv.Itoa(priority)}, metrics.Label{Name: "up_to", Value: upTo.String()})
	})
	m.metrics.Add("returns_recognized", c.Recognized)
}

// loadReports adds counts of refusals by load reports and of invalid reports.
func (m *hostMetrics) loadReports(service string, c replicaset.LoadCounts) {
	label := metrics.Label{Name: "service", Value: m.metrics.ServiceLabel(service)}
	m.metrics.Add("refused_by_load_reports", c.RefusedByReports, label)
	m.metrics.Add("load_reports_invalid", c.InvalidReports, label)
}

// outliers adds counts of ejections, of reads that were refused because of them, and of
// verdicts of other hosts that were ignored as invalid.
func (m *hostMetrics) outliers(service string, c replicaset.OutlierCounts) {
	label := metrics.Label{Name: "service", Value: m.metrics.ServiceLabel(service)}
	byCause := func(name string, counts map[outlier.Cause]int) {
		for cause, n := range counts {
			m.metrics.Add(name, n, label, metrics.Label{Name: "cause", Value: cause.String()})
		}
	}
	byCause("ejections", c.Ejections)
	byCause("ejection_refusals", c.Refused)
	if c.Invalid > 0 {
		m.metrics.Add("ejections_invalid", c.Invalid, label)
	}
}

// rejectedAnswers adds counts of members' answers that were not those of the operations in
// progress.
func (m *hostMetrics) rejectedAnswers(service string, counts map[correlate.Reason]int) {
	label := metrics.Label{Name: "service", Value: m.metrics.ServiceLabel(service)}
	for reason, n := range counts {
		m.metrics.Add("answers_rejected", n, label, metrics.Label{Name: "reason", Value: string(reason)})
	}
}

func readTarget(primary bool) string {
	if primary {
		return "primary"
	}
	return "any"
}

// reportGauges updates the host's gauges until ctx is done.
func (h *Host) reportGauges(ctx context.Context) {
	clock.Every(ctx, gaugeInterval, func() { h.gauges(clock.Now()) })
}

func (h *Host) gauges(now time.Duration) {
	m := h.metrics.metrics
	m.Gauge("sessions", float64(h.gateway.Sessions()))
	if c := h.registry.Catalog(); c != nil {
		m.Gauge("config_version", float64(c.Version))
	}
	st := h.registry.State()
	m.Gauge("hosts", float64(st.Hosts))
	m.Gauge("platform_epoch", float64(st.Revision.Epoch()))
	m.Gauge("platform_revision", float64(st.Revision.Number()))
	m.Gauge("platform_heard_seconds", st.SinceContact.Seconds())
	m.Gauge("platform_followers", float64(st.Followers))
	m.Gauge("log_lines_left_out", float64(h.logBudget.Suppressed()))
	h.serviceGauges(now)
}

// serviceGauges updates the gauges of the active groups. Services that share a label
// have the sum of their counts, the newest term and the age of the oldest floor.
func (h *Host) serviceGauges(now time.Duration) {
	m := h.metrics.metrics
	byLabel := map[string]replicaset.Stats{}
	for _, s := range h.allSets() {
		label, st := m.ServiceLabel(s.Service()), s.Stats(now)
		sum := byLabel[label]
		byLabel[label] = replicaset.Stats{
			Connections: sum.Connections + st.Connections, Waiting: sum.Waiting + st.Waiting,
			Term: max(sum.Term, st.Term), FloorAge: max(sum.FloorAge, st.FloorAge),
		}
	}
	for label, st := range byLabel {
		m.ServiceGauge("connections", label, float64(st.Connections))
		m.ServiceGauge("statements_waiting", label, float64(st.Waiting))
		m.ServiceGauge("term", label, float64(st.Term))
		m.ServiceGauge("floor_age_seconds", label, st.FloorAge.Seconds())
	}
}
