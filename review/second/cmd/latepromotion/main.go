// Command latepromotion shows a promotion call that got no answer and is executed seconds
// later, after the same holder has had another member promoted with the same fencing token.
package main

import (
	"sync/atomic"
	"time"

	"github.com/dotterelswitch/dotterelswitch/review/second/harness"
)

const (
	hosts, writers = 3, 6
	// lateBy is how late the unanswered call is executed; the pages allow 2 to 12 s.
	lateBy = 9 * time.Second
	// firstRelease and secondRelease are when the present primary announces that it leaves.
	firstRelease, secondRelease = 3 * time.Second, 8 * time.Second
	// playTime is how long the callers write.
	playTime = 16 * time.Second
	// extraLag is by how much the member that was promoted first is at most further behind
	// than the other replicas, which are 20 ms behind. The site file names up to 120 ms.
	extraLag = 95 * time.Millisecond
)

func main() { harness.Run(play) }

func play(record *harness.Record, dir, program string) (bool, error) {
	l, err := harness.StartLedger(harness.PvssoObs, hosts, record, dir, program)
	if err != nil {
		return false, err
	}
	defer l.Close()
	start := time.Now()
	for n := range writers {
		l.Write("w"+string(rune('a'+n)), l.Hosts[n%hosts], start.Add(playTime))
	}
	var withhold atomic.Bool
	withhold.Store(harness.Trouble())
	l.Promotion.Withhold = func() (time.Duration, bool) { return lateBy, withhold.CompareAndSwap(true, false) }
	if _, err := l.Release(start.Add(firstRelease)); err != nil {
		return false, err
	}
	promotedFirst, err := l.Release(start.Add(secondRelease))
	if err != nil {
		return false, err
	}
	go l.LagBehind(promotedFirst, extraLag)
	l.Await()
	return l.Lost(), nil
}
