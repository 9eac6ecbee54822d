package workload

import (
	"time"
)

// Report is the result of a load run.
type Report struct {
	Workload string `json:"workload"`
	Fault    string `json:"fault"`
	Hosts    int    `json:"hosts"`
	Seed     uint64 `json:"seed"`
	Counts
	Violations
	ReplicaReadShare float64 `json:"replica_read_share"`
	// FailoverGapMS is nil if no primary failed.
	FailoverGapMS *float64 `json:"failover_gap_ms"`
	ReadP50MS     float64  `json:"read_p50_ms"`
	ReadP99MS     float64  `json:"read_p99_ms"`
	WriteP50MS    float64  `json:"write_p50_ms"`
	WriteP99MS    float64  `json:"write_p99_ms"`
	RequestsPerS  float64  `json:"requests_per_s"`
	SlotBreaches  int64    `json:"slot_breaches"`
	// ConnectionsRefused counts the connections that members refused.
	ConnectionsRefused int            `json:"connections_refused"`
	Promotions         int            `json:"promotions"`
	Restarts           int            `json:"restarts"`
	StoreCalls         int64          `json:"store_calls"`
	Errors             map[string]int `json:"errors,omitempty"`
}

func (l *Load) report(reads roleReads) *Report {
	violations, counts := l.run.checker.Results()
	r := &Report{
		Workload: l.opts.Spec.Name, Hosts: len(l.opts.Entries), Seed: l.opts.Seed, Fault: "none",
		Counts: counts, Violations: violations,
		ReadP50MS: l.run.readTime.percentileMS(50), ReadP99MS: l.run.readTime.percentileMS(99),
		WriteP50MS: l.run.writeTime.percentileMS(50), WriteP99MS: l.run.writeTime.percentileMS(99),
		RequestsPerS: float64(counts.Reads+counts.WritesAcked) / l.opts.Duration.Seconds(),
	}
	if total := reads.replica + reads.primary; total > 0 {
		r.ReplicaReadShare = float64(reads.replica) / float64(total)
	}
	if gap, failed := l.run.failoverGap.longest(time.Now()); failed {
		ms := float64(gap.Microseconds()) / 1000
		r.FailoverGapMS = &ms
	}
	l.run.mu.Lock()
	defer l.run.mu.Unlock()
	r.Errors = l.run.errors
	return r
}
