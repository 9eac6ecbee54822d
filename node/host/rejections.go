package host

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/dotterelswitch/dotterelswitch/node/eventlog"
	"github.com/dotterelswitch/dotterelswitch/node/metrics"
	"github.com/dotterelswitch/dotterelswitch/node/upstream"
)

// rejectionReport logs and counts the answers of members that are not those to the requests in
// progress. It is safe for concurrent use.
type rejectionReport struct {
	log     zerolog.Logger
	metrics *metrics.Metrics
	limiter *eventlog.RateLimiter
	started time.Time
}

func newRejectionReport(log zerolog.Logger, m *metrics.Metrics) *rejectionReport {
	return &rejectionReport{log: log, metrics: m, limiter: eventlog.NewRateLimiter(), started: time.Now()}
}

func (r *rejectionReport) record(rejection upstream.Rejection) {
	r.metrics.Count("upstream_answers_rejected", metrics.Label{Name: "reason", Value: string(rejection.Reason)})
	suppressed, ok := r.limiter.Allow(eventlog.UpstreamAnswerRejected, time.Since(r.started))
	if !ok {
		return
	}
	eventlog.UpstreamAnswerRejected.Warn(r.log).Str("upstream", rejection.Member).Str("reason", string(rejection.Reason)).
		Str("statement", rejection.Keyword).Bool("answered", rejection.Answered).
		Str("connection", string(rejection.Connection)).Int("left_out", suppressed).Send()
}
