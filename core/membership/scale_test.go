package membership_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/membership"
)

var fleetSizes = []int{500, 1500, 5000}

func fullRoster(n int) *membership.Roster {
	r := membership.NewRoster(host(0), membership.DefaultTiming(), 1)
	for i := 1; i < n; i++ {
		r.Merge(membership.Host{
			ID: fmt.Sprintf("host-%05d", i), Zone: fmt.Sprintf("zone-%02d", i%31),
			Peer: fmt.Sprintf("10.0.%d.%d:6433", i>>8, i&255), Incarnation: uint64(i),
		}, 0)
	}
	return r
}

// BenchmarkChange measures the merge of one restarted host and the new list of serving
// hosts.
func BenchmarkChange(b *testing.B) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r := fullRoster(n)
			incarnation := uint64(n)
			for b.Loop() {
				incarnation++
				r.Merge(membership.Host{ID: "host-00007", Zone: "zone-07", Incarnation: incarnation}, time.Second)
				_ = r.Serving()
			}
		})
	}
}

// BenchmarkTick measures the work of one probe period.
func BenchmarkTick(b *testing.B) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r := fullRoster(n)
			for b.Loop() {
				r.Tick(time.Second)
				_, _ = r.NextProbe()
				_ = r.TakeRumours()
			}
		})
	}
}

// BenchmarkOwner measures the lookup of one member's owner.
func BenchmarkOwner(b *testing.B) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p := membership.NewPlacement(fullRoster(n).Serving())
			for b.Loop() {
				_, _ = p.Owner("service-00001-a", "zone-07")
			}
		})
	}
}

// BenchmarkRosterMemory reports the heap size per known host.
func BenchmarkRosterMemory(b *testing.B) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				before := heap()
				r := fullRoster(n)
				b.ReportMetric(float64(heap()-before)/float64(n), "heap-B/host")
				runtime.KeepAlive(r)
			}
		})
	}
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkSpread counts the probe periods until a new configuration version has
// reached the whole fleet, starting from two hosts in each of 31 zones. Every probe
// informs both sides, and each host probes in an order of its own.
func BenchmarkSpread(b *testing.B) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				b.ReportMetric(float64(periodsToSpread(n)), "periods")
			}
		})
	}
}

func periodsToSpread(n int) int {
	const relays = 62
	rng := rand.New(rand.NewPCG(1, uint64(n)))
	orders := make([][]int, n)
	knows := make([]bool, n)
	for i := range n {
		orders[i] = rng.Perm(n)
		knows[i] = i < relays
	}
	remaining := n - relays
	for period := 0; ; period++ {
		if remaining == 0 {
			return period
		}
		for i := range n {
			j := orders[i][period%n]
			if knows[i] != knows[j] {
				knows[i], knows[j] = true, true
				remaining--
			}
		}
	}
}
