package returns

import (
	"slices"
	"time"
)

const (
	// arrivalWindow and numArrivalWindows make the usual load one of the last 8 s, which
	// outlasts surges of up to half of that.
	arrivalWindow     = 500 * time.Millisecond
	numArrivalWindows = 16
)

// arrivals counts the statements that come for the first time.
type arrivals struct {
	current int64
	counts  [numArrivalWindows]int
	// usual is the median of the windows before the current one.
	usual int
}

// observe counts a statement.
func (a *arrivals) observe(now time.Duration) {
	a.advance(now)
	a.counts[a.current%numArrivalWindows]++
}

// advance starts the current window.
func (a *arrivals) advance(now time.Duration) {
	window := int64(now / arrivalWindow)
	if window <= a.current {
		return
	}
	for w := max(a.current+1, window-numArrivalWindows); w < window; w++ {
		a.counts[w%numArrivalWindows] = 0
	}
	sorted := a.counts
	slices.Sort(sorted[:])
	a.usual = sorted[numArrivalWindows/2]
	a.counts[window%numArrivalWindows] = 0
	a.current = window
}

// usualRate returns the median rate per second. Unlike a mean, it is not raised by the
// surge whose refused statements are being scheduled.
func (a *arrivals) usualRate(now time.Duration) float64 {
	a.advance(now)
	return float64(a.usual) / arrivalWindow.Seconds()
}
