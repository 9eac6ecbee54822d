package host_test

import (
	"encoding/json"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/conf"
	"github.com/dotterelswitch/dotterelswitch/node/confstore"
	"github.com/dotterelswitch/dotterelswitch/node/consul"
	"github.com/dotterelswitch/dotterelswitch/node/peer"
)

// BenchmarkConfigInForce measures how long an accepted change takes to be in
// force on all of eight hosts, mean and worst of the iterations, with the
// platform up, slow, and out right after acceptance while the operator's tool
// tells one host.
func BenchmarkConfigInForce(b *testing.B) {
	for _, tc := range []struct {
		name string
		slow time.Duration
		out  bool
	}{{"up", 0, false}, {"slow", 300 * time.Millisecond, false}, {"out-after-acceptance", 0, true}} {
		b.Run(tc.name, func(b *testing.B) {
			d := deploy(b, 8, nil)
			defer d.kill()
			store := confstore.New(consul.NewClient(d.dep.Platform.Addr(), (&net.Dialer{}).DialContext))
			var worst, sum time.Duration
			n := 0
			for b.Loop() {
				d.dep.Platform.SetSlow(tc.slow)
				took := d.changeAndWait(b, store, n, tc.out)
				n++
				sum += took
				worst = max(worst, took)
			}
			b.ReportMetric(float64(sum.Milliseconds())/float64(n), "mean-ms")
			b.ReportMetric(float64(worst.Milliseconds()), "worst-ms")
		})
	}
}

func (d *deployment) changeAndWait(b *testing.B, store *confstore.Store, i int, out bool) time.Duration {
	ch, err := store.Submit(b.Context(), fmt.Sprintf("bench-%d", i), func(*conf.Config) (conf.Items, conf.Names, error) {
		return conf.Items{Teams: []conf.Team{{Name: "bench", Weight: float64(i + 1)}}}, conf.Names{}, nil
	})
	require.NoError(b, err)
	accepted := time.Now()
	if out {
		d.dep.Platform.SetOutage(true)
		defer d.dep.Platform.SetOutage(false)
		d.tell(b, i%len(d.hosts), ch)
	}
	require.Eventually(b, func() bool {
		for _, h := range d.hosts {
			if h.ConfigVersion() < ch.Version {
				return false
			}
		}
		return true
	}, testTimeout, time.Millisecond)
	return time.Since(accepted)
}

// tell offers an accepted change to one host, as the operator's tool does.
func (d *deployment) tell(t testing.TB, i int, ch conf.Change) {
	t.Helper()
	data, err := json.Marshal(ch)
	require.NoError(t, err)
	client := peer.NewClient((&net.Dialer{}).DialContext, "test")
	version, err := client.OfferChange(t.Context(), d.peers[i], data)
	require.NoError(t, err)
	require.GreaterOrEqual(t, version, ch.Version)
}

// TestChangeSpreadsWithThePlatformOut accepts a change, takes the platform away
// and tells one host: all hosts get the change, and none goes back.
func TestChangeSpreadsWithThePlatformOut(t *testing.T) {
	d := deploy(t, 5, nil)
	defer d.kill()
	store := confstore.New(consul.NewClient(d.dep.Platform.Addr(), (&net.Dialer{}).DialContext))
	ch, err := store.Submit(t.Context(), "one", func(*conf.Config) (conf.Items, conf.Names, error) {
		return conf.Items{Teams: []conf.Team{{Name: "late", Weight: 3}}}, conf.Names{}, nil
	})
	require.NoError(t, err)
	d.dep.Platform.SetOutage(true)
	d.tell(t, 4, ch)
	d.tell(t, 4, ch)
	for _, h := range d.hosts {
		require.Eventually(t, func() bool { return h.ConfigVersion() == ch.Version }, testTimeout, time.Millisecond)
	}
}
