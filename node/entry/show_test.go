package entry_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/prometheus/common/expfmt"
	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/node/inspect"
	"github.com/dotterelswitch/dotterelswitch/node/inspect/inspectpb"
	"github.com/dotterelswitch/dotterelswitch/standin/lineplatform"
)

// TestShowReportsHostState covers sessions, configuration, store, lock and upstreams.
func TestShowReportsHostState(t *testing.T) {
	d := deploy(t, 2, options())
	c := d.connect(0, "strict")
	c.must("STORE item x")
	s := d.show(0)
	require.Equal(t, "host-1", s.Host)
	require.True(t, s.Ready)
	require.EqualValues(t, 1, s.Sessions)
	require.EqualValues(t, 3, s.Configuration.Routes)
	require.NotZero(t, s.Configuration.Version)
	require.False(t, s.Store.Away)
	require.EqualValues(t, 2, s.Store.Hosts)
	require.Len(t, s.Services, 1)
	svc := s.Services[0]
	require.Equal(t, d.group.Primary().ID, svc.Primary)
	require.NotNil(t, svc.Floor, "the write determined a floor")
	require.Len(t, svc.Upstreams, 3)
	for _, u := range svc.Upstreams {
		require.False(t, u.Dead)
		if u.Name == svc.Primary {
			require.NotZero(t, u.Connections)
		}
	}
	require.Eventually(t, func() bool { return d.show(0).Services[0].Lock.Holder != "" }, waitLimit, pollInterval)
}

// TestShowReportsLoadOfGates guards against reports that get lost between a gate and the
// hosts that it answers. Two of the four hosts are gates of each member.
func TestShowReportsLoadOfGates(t *testing.T) {
	d := deploy(t, 4, options())
	for host := range 4 {
		c := d.connect(host, "strict")
		require.Eventually(t, func() bool {
			c.must("FETCH item")
			svc := d.show(host).Services[0]
			u := upstream(svc, svc.Primary)
			return len(u.Gates) == 0 || len(u.GateLoads) == 1 && u.GateLoads[0].Capacity == 7
		}, waitLimit, pollInterval)
	}
}

// TestShowReportsFailingUpstreamAndStoreOutage: a failed primary and a store outage
// are shown while they last.
func TestShowReportsFailingUpstreamAndStoreOutage(t *testing.T) {
	d := deploy(t, 1, options())
	c := d.connect(0, "strict")
	c.must("STORE item x")
	old := d.group.Primary().ID
	d.group.Primary().Crash()
	require.Eventually(t, func() bool {
		// A failed primary is detected by statements only.
		c.do("FETCH item")
		svc := d.show(0).Services[0]
		return svc.Primary != old && upstream(svc, old).Failing
	}, waitLimit, pollInterval)
	d.platform.Store.SetFailureMode(lineplatform.Unavailable)
	require.Eventually(t, func() bool { return d.show(0).Store.Away }, waitLimit, pollInterval)
	d.platform.Store.SetFailureMode(lineplatform.Healthy)
	require.Eventually(t, func() bool { return !d.show(0).Store.Away }, waitLimit, pollInterval)
}

func upstream(s *inspectpb.Service, name string) *inspectpb.Upstream {
	for _, u := range s.Upstreams {
		if u.Name == name {
			return u
		}
	}
	return &inspectpb.Upstream{}
}

// TestMetricsCountStoreCallsAndPromotions parses the metrics page with the Prometheus
// library.
func TestMetricsCountStoreCallsAndPromotions(t *testing.T) {
	d := deploy(t, 1, options())
	c := d.connect(0, "strict")
	c.must("STORE item x")
	d.group.Primary().Crash()
	require.Eventually(t, func() bool {
		c.do("FETCH item")
		page := d.metrics(0)
		return sum(t, page, "dotterelswitch_promotions", "result", "succeeded") == 1 &&
			sum(t, page, "dotterelswitch_store_calls", "call", "watch") > 0 &&
			sum(t, page, "dotterelswitch_store_calls", "call", "grant_lease") == 1 &&
			sum(t, page, "dotterelswitch_store_calls", "result", "ok") > 0
	}, waitLimit, 10*pollInterval)
}

// show returns a host's answer to an inspection request.
func (d *deployment) show(host int) *inspectpb.ShowResponse {
	d.t.Helper()
	s, err := inspect.Show(context.Background(), http.DefaultClient, d.settings[host].MetricsAddress)
	require.NoError(d.t, err)
	return s
}

// metrics fetches a host's metrics page.
func (d *deployment) metrics(host int) string {
	d.t.Helper()
	res, err := http.Get("http://" + d.settings[host].MetricsAddress + "/metrics")
	require.NoError(d.t, err)
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	require.NoError(d.t, err)
	return string(body)
}

// sum returns the sum of a counter over the series with the given label.
func sum(t *testing.T, page, name, label, value string) float64 {
	t.Helper()
	var parser expfmt.TextParser
	families, err := parser.TextToMetricFamilies(strings.NewReader(page))
	require.NoError(t, err)
	total := 0.0
	for _, m := range families[name].GetMetric() {
		for _, l := range m.GetLabel() {
			if l.GetName() == label && l.GetValue() == value {
				total += m.GetCounter().GetValue()
			}
		}
	}
	return total
}
