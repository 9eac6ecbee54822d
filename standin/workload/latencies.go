package workload

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// The histograms span 1 µs to 100 s with three significant digits.
const (
	lowestMicros  = 1
	highestMicros = 100_000_000
	digits        = 3
)

// latencies is a histogram that is safe for concurrent use.
type latencies struct {
	mu sync.Mutex
	h  *hdrhistogram.Histogram
}

func newLatencies() *latencies {
	return &latencies{h: hdrhistogram.New(lowestMicros, highestMicros, digits)}
}

func (l *latencies) record(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.h.RecordValue(min(max(d.Microseconds(), lowestMicros), highestMicros))
}

// milliseconds returns a quantile, given in percent.
func (l *latencies) milliseconds(quantile float64) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return float64(l.h.ValueAtQuantile(quantile)) / 1000
}
