package host_test

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/conf"
	"github.com/dotterelswitch/dotterelswitch/node/confstore"
	"github.com/dotterelswitch/dotterelswitch/node/platform"
)

// BenchmarkConfigInForce measures how long an accepted change takes to be in
// force on all of eight hosts, mean and worst of the iterations, with the
// platform up and slow.
func BenchmarkConfigInForce(b *testing.B) {
	for _, tc := range []struct {
		name string
		slow time.Duration
	}{{"up", 0}, {"slow", 300 * time.Millisecond}} {
		b.Run(tc.name, func(b *testing.B) {
			d := deploy(b, 8, nil)
			defer d.kill()
			store := confstore.New(platform.NewClient(d.dep.Platform.Addr(), (&net.Dialer{}).DialContext))
			var worst, sum time.Duration
			n := 0
			for b.Loop() {
				d.dep.Platform.SetSlow(tc.slow)
				took := d.changeAndWait(b, store, n)
				n++
				sum += took
				worst = max(worst, took)
			}
			b.ReportMetric(float64(sum.Milliseconds())/float64(n), "mean-ms")
			b.ReportMetric(float64(worst.Milliseconds()), "worst-ms")
		})
	}
}

func (d *deployment) changeAndWait(b *testing.B, store *confstore.Store, i int) time.Duration {
	version, err := store.Submit(b.Context(), fmt.Sprintf("bench-%d", i), func(*conf.Config) (conf.Items, conf.Names, error) {
		return conf.Items{Tenants: []conf.Tenant{{Name: "bench", Weight: float64(i + 1)}}}, conf.Names{}, nil
	})
	require.NoError(b, err)
	accepted := time.Now()
	require.Eventually(b, func() bool {
		for _, h := range d.hosts {
			if h.ConfigVersion() < version {
				return false
			}
		}
		return true
	}, testTimeout, time.Millisecond)
	return time.Since(accepted)
}
