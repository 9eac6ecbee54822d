package demo

import (
	"fmt"
	"io"
	"maps"
	"slices"

	"github.com/dotterelswitch/dotterelswitch/standin/workload"
)

// WriteText prints a report in human-readable form.
func WriteText(w io.Writer, r *workload.Report) {
	line := func(format string, args ...any) { _, _ = fmt.Fprintf(w, format+"\n", args...) }
	line("")
	line("%s, fault %s, %d hosts, seed %d", r.Workload, r.Fault, r.Hosts, r.Seed)
	line("  writes      %d acknowledged, %d refused as not run, %d unknown", r.WritesAcked, r.RefusedNotRun, r.WritesUnknown)
	line("  reads       %d, %.1f %% of them by replicas", r.Reads, 100*r.ReplicaReadShare)
	line("  latency     read p50 %.1f ms, p99 %.1f ms; write p50 %.1f ms, p99 %.1f ms", r.ReadP50MS, r.ReadP99MS, r.WriteP50MS, r.WriteP99MS)
	line("  rate        %.0f requests/s", r.RequestsPerS)
	if r.FailoverGapMS != nil {
		line("  failover    writes were unavailable for %.0f ms", *r.FailoverGapMS)
	}
	line("  cut         %d requests lost their connection without an answer", r.UnansweredRequests)
	line("  violations  lost %d, doubled %d, not run but ran %d, read-your-writes %d, staleness %d, wrong answers %d",
		r.WritesLost, r.WritesDoubled, r.NotRunButRan, r.RYWViolations, r.StalenessViolations, r.WrongAnswers)
	if r.Violations.Any() {
		line("BROKEN: at least one promise was not kept")
	} else {
		line("OK: every promise that was checked was kept")
	}
	for _, text := range slices.Sorted(maps.Keys(r.Errors)) {
		line("  %6d x %s", r.Errors[text], text)
	}
}
