package entry

import (
	"net/http"

	"github.com/dotterelswitch/dotterelswitch/node/edge"
	"github.com/dotterelswitch/dotterelswitch/node/metrics"
)

// maxTenants bounds the databases that have labels of their own.
const maxTenants = 50

// requestMetrics turns finished statements into metrics.
type requestMetrics struct{ metrics *metrics.Metrics }

func newRequestMetrics() *requestMetrics { return &requestMetrics{metrics: metrics.New(maxTenants)} }

func (m *requestMetrics) handler() http.Handler { return m.metrics.Handler() }

func (m *requestMetrics) observe(r edge.Record) {
	m.metrics.Request(r.Database, r.Statement.Kind.String(), r.Outcome.Answer.Code.String(),
		r.Outcome.Waited, r.Took-r.Outcome.Waited, r.Took)
}
