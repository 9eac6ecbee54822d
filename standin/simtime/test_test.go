package simtime

import (
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestExpiredTimersOfManyGoroutinesDoNotCrashTheRaceDetector reads expired timers in many
// goroutines at once, which the race detector does not survive on several processors.
func TestExpiredTimersOfManyGoroutinesDoNotCrashTheRaceDetector(t *testing.T) {
	const goroutines, rounds = 64, 500
	processors := runtime.GOMAXPROCS(0)
	Test(t, func(t *testing.T) {
		done := make(chan struct{})
		for range goroutines {
			go func() {
				timer, ticker := time.NewTimer(time.Millisecond), time.NewTicker(time.Millisecond)
				for range rounds {
					time.Sleep(2 * time.Millisecond)
					<-timer.C
					<-ticker.C
					timer.Reset(time.Millisecond)
				}
				done <- struct{}{}
			}()
		}
		for range goroutines {
			<-done
		}
	})
	require.Equal(t, processors, runtime.GOMAXPROCS(0))
}
