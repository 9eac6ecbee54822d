// Package simtime runs tests in simulated time (testing/synctest).
package simtime

import (
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
)

// bubbles is held while a test changes the number of processors, which is a setting of
// the whole process.
var bubbles sync.Mutex

// Test runs f in simulated time like synctest.Test. Under the race detector it runs on
// one processor: the timers of a bubble share one context of the detector, a goroutine
// that reads an expired timer's channel runs the timer itself, and two processors that
// use one context at once crash the detector.
func Test(t *testing.T, f func(*testing.T)) {
	t.Helper()
	if raceDetector {
		bubbles.Lock()
		defer bubbles.Unlock()
		defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	}
	synctest.Test(t, f)
}
