package quota_test

import (
	"fmt"
	"testing"

	"github.com/dotterelswitch/dotterelswitch/core/quota"
)

// BenchmarkPlace places one team in fleets of several sizes in three regions.
func BenchmarkPlace(b *testing.B) {
	for _, size := range []int{91, 300, 5000} {
		b.Run(fmt.Sprint(size, " hosts"), func(b *testing.B) {
			var hosts []quota.Host
			for i := range size {
				hosts = append(hosts, quota.Host{Name: fmt.Sprint("host-", i), Region: fmt.Sprint("region-", i%3)})
			}
			for b.Loop() {
				quota.Place("schools", limitOf(10, 10), tolerance, hosts, hosts[0])
			}
		})
	}
}
