package workload

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of the histograms.
const (
	minMicros         = 1
	maxMicros         = 100_000_000
	significantDigits = 3
)

// latencies is a latency histogram that is safe for concurrent use.
type latencies struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
}

func newLatencies() *latencies {
	return &latencies{histogram: hdrhistogram.New(minMicros, maxMicros, significantDigits)}
}

func (l *latencies) record(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.histogram.RecordValue(min(max(d.Microseconds(), minMicros), maxMicros))
}

func (l *latencies) percentileMS(percentile float64) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return float64(l.histogram.ValueAtQuantile(percentile)) / 1000
}
