// Command doubleswitch shows two hosts that have members promoted in turn while the members
// of a service are replaced one after the other.
package main

import (
	"fmt"
	"time"

	"github.com/dotterelswitch/dotterelswitch/review/second/harness"
)

const (
	hosts, writers = 7, 4
	// settleTime is how long the callers write before the first member leaves, and
	// releaseGap the time between two members; it is 1 s on the bench.
	settleTime = 3 * time.Second
	releaseGap = 1500 * time.Millisecond
	releases   = 4
	playTime   = settleTime + releases*releaseGap + 2*time.Second
	// extraLag is by how much two of the three members that there are at first are at most
	// further behind than the others, which are 20 ms behind. The site file names 120 ms.
	extraLag = 95 * time.Millisecond
	// leaseTime is lease_ms, as the bench reports it for this rule.
	leaseTime = 3 * time.Second
)

func main() { harness.Run(play) }

func play(record *harness.Record, dir, program string) (bool, error) {
	l, err := harness.StartLedger(harness.RdvNotarial, hosts, record, dir, program)
	if err != nil {
		return false, err
	}
	defer l.Close()
	start := time.Now()
	for n := range writers {
		l.Write("w"+string(rune('a'+n)), l.Hosts[0], start.Add(playTime))
	}
	for _, m := range l.Group.Members()[1:] {
		go l.LagBehind(m, extraLag)
	}
	if harness.Trouble() {
		for n := range releases {
			if _, err := l.Release(start.Add(settleTime + time.Duration(n)*releaseGap)); err != nil {
				return false, err
			}
		}
	}
	l.Await()
	l.Lost()
	return inTurn(l.Promotion.Accepted(), record), nil
}

// inTurn reports whether a holder had a member promoted, then another one did, and then the
// first one again, all within leaseTime.
func inTurn(orders []harness.Order, record *harness.Record) bool {
	found := false
	for i, first := range orders {
		for j := i + 1; j < len(orders); j++ {
			for k := j + 1; k < len(orders); k++ {
				if orders[j].Holder == first.Holder || orders[k].Holder != first.Holder || orders[k].At.Sub(first.At) > leaseTime {
					continue
				}
				found = true
				record.Add("ONE: promoted by %s with token %s, %.3f s later by %s with token %s, and %.3f s after the first by %s with token %s",
					first.Holder, first.Token, orders[j].At.Sub(first.At).Seconds(), orders[j].Holder, orders[j].Token,
					orders[k].At.Sub(first.At).Seconds(), orders[k].Holder, orders[k].Token)
			}
		}
	}
	fmt.Printf("%d promotions, holders in turn: %v\n", len(orders), found)
	return found
}
