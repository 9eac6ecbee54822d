package host_test

import (
	"encoding/json"
	"fmt"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/conf"
	"github.com/dotterelswitch/dotterelswitch/node/confstore"
	"github.com/dotterelswitch/dotterelswitch/node/consul"
	"github.com/dotterelswitch/dotterelswitch/node/host"
	"github.com/dotterelswitch/dotterelswitch/node/peer"
	"github.com/dotterelswitch/dotterelswitch/node/settings"
	"github.com/dotterelswitch/dotterelswitch/standin/faultproxy"
)

// BenchmarkConfigInForce measures the time from acceptance of a change until it is
// active on all eight hosts, with the platform available, slow, or unavailable
// after acceptance; in the last case the change is offered to one host directly.
func BenchmarkConfigInForce(b *testing.B) {
	for _, tc := range []struct {
		name    string
		latency time.Duration
		outage  bool
	}{{"up", 0, false}, {"slow", 300 * time.Millisecond, false}, {"outage-after-acceptance", 0, true}} {
		b.Run(tc.name, func(b *testing.B) {
			d := deploy(b, 8, nil)
			defer d.kill()
			store := confstore.New(consul.NewClient(d.env.Platform.Addr(), (&net.Dialer{}).DialContext))
			var worst, sum time.Duration
			n := 0
			for b.Loop() {
				d.env.Platform.SetDelay(tc.latency)
				elapsed := d.changeAndWait(b, store, n, tc.outage)
				n++
				sum += elapsed
				worst = max(worst, elapsed)
			}
			b.ReportMetric(float64(sum.Milliseconds())/float64(n), "mean-ms")
			b.ReportMetric(float64(worst.Milliseconds()), "worst-ms")
		})
	}
}

func (d *deployment) changeAndWait(b *testing.B, store *confstore.Store, i int, outage bool) time.Duration {
	ch, err := store.Submit(b.Context(), fmt.Sprintf("bench-%d", i), func(*conf.Config) (conf.Items, conf.Names, error) {
		return conf.Items{Teams: []conf.Team{{Name: "bench", Weight: float64(i + 1)}}}, conf.Names{}, nil
	})
	require.NoError(b, err)
	accepted := time.Now()
	if outage {
		d.env.Platform.SetOutage(true)
		defer d.env.Platform.SetOutage(false)
		d.offerChange(b, i%len(d.hosts), ch)
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

// offerChange offers an accepted change to one host, as dotterelctl does.
func (d *deployment) offerChange(t testing.TB, i int, ch conf.Change) {
	t.Helper()
	data, err := json.Marshal(ch)
	require.NoError(t, err)
	client := peer.NewClient((&net.Dialer{}).DialContext, "test")
	version, err := client.OfferChange(t.Context(), d.peers[i], data)
	require.NoError(t, err)
	require.GreaterOrEqual(t, version, ch.Version)
}

// TestChangeIsInForceAfterUnansweredWatch guards against hosts that wait too long for the
// answer to a blocking query: the platform's connections have gone silent on all hosts, so
// that none of them can tell the others of a change.
func TestChangeIsInForceAfterUnansweredWatch(t *testing.T) {
	const bound = 12 * time.Second
	var proxy *faultproxy.Proxy
	d := deploy(t, 3, func(s *settings.Settings) {
		if proxy == nil {
			var err error
			proxy, err = faultproxy.New(s.Platform)
			require.NoError(t, err)
			t.Cleanup(proxy.Close)
		}
		s.Platform = proxy.Address()
	})
	defer d.kill()
	proxy.BlackholeConnections()
	store := confstore.New(consul.NewClient(d.env.Platform.Addr(), (&net.Dialer{}).DialContext))
	ch, err := store.Submit(t.Context(), "silent", func(*conf.Config) (conf.Items, conf.Names, error) {
		return conf.Items{Teams: []conf.Team{{Name: "silent", Weight: 1}}}, conf.Names{}, nil
	})
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		return !slices.ContainsFunc(d.hosts, func(h *host.Host) bool { return h.ConfigVersion() < ch.Version })
	}, bound, 10*time.Millisecond)
}

// TestChangePropagatesDuringPlatformOutage guards against an accepted change that
// is offered to one host but does not reach the others without the platform.
func TestChangePropagatesDuringPlatformOutage(t *testing.T) {
	d := deploy(t, 5, nil)
	defer d.kill()
	store := confstore.New(consul.NewClient(d.env.Platform.Addr(), (&net.Dialer{}).DialContext))
	ch, err := store.Submit(t.Context(), "one", func(*conf.Config) (conf.Items, conf.Names, error) {
		return conf.Items{Teams: []conf.Team{{Name: "late", Weight: 3}}}, conf.Names{}, nil
	})
	require.NoError(t, err)
	d.env.Platform.SetOutage(true)
	d.offerChange(t, 4, ch)
	d.offerChange(t, 4, ch)
	for _, h := range d.hosts {
		require.Eventually(t, func() bool { return h.ConfigVersion() == ch.Version }, testTimeout, time.Millisecond)
	}
}
