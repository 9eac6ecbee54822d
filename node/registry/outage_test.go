package registry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/gates"
	"github.com/dotterelswitch/dotterelswitch/standin/lineplatform"
)

// TestConfigurationIsActiveInTimeAfterUnresponsiveStore guards against waiting too long
// for a watch that an unresponsive store never answers, not even after its return.
func TestConfigurationIsActiveInTimeAfterUnresponsiveStore(t *testing.T) {
	const maxConfigApplyTime = 3 * time.Second
	p, err := lineplatform.Start()
	require.NoError(t, err)
	t.Cleanup(p.Close)
	first := p.Configure(nil, time.Second)
	r := runRegistryWithin(t, p, gates.Host{Name: "h1", Zone: "a"}, maxConfigApplyTime)
	requireConfigVersion(t, "before the outage", r, first)

	p.Store.SetFailureMode(lineplatform.Unresponsive)
	watches := p.Store.WatchCallCount()
	require.Eventually(t, func() bool { return p.Store.WatchCallCount() > watches }, waitTimeout, pollInterval, "a watch is sent that is never answered")
	p.Store.SetFailureMode(lineplatform.Healthy)
	changed := p.Configure(nil, time.Second)
	require.Eventually(t, func() bool { return r.Catalog().Version == changed }, maxConfigApplyTime, pollInterval)
}
