package entry_test

import (
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/standin/responseproxy"
)

// repeatAtNextRequest repeats each response once the next request on the connection was sent.
var repeatAtNextRequest = responseproxy.Fault{Repeat: 1, AfterNextRequest: true}

// deployBehindRepeatingProxy starts hosts that reach the platform through a proxy, which
// repeats all responses. The store has several pages of keys.
func deployBehindRepeatingProxy(t *testing.T, log io.Writer, hosts int, f responseproxy.Fault) *deployment {
	t.Helper()
	d := deployPlatform(t, options())
	d.logWriter = log
	for i := range 300 {
		d.platform.Store.Put(fmt.Sprintf("other/%03d", i), []byte("x"))
	}
	for i := range hosts {
		p, err := responseproxy.New(d.platform.Address(), uint64(i))
		require.NoError(t, err)
		t.Cleanup(p.Close)
		p.SetFault(f)
		d.promotions = p.Address()
		d.addHostWithStore(p.Address())
	}
	for _, h := range d.hosts {
		require.Eventually(t, func() bool { return h.KnownHosts() == hosts }, waitLimit, pollInterval)
	}
	return d
}

// TestHostsServeWhileStoreRepeatsResponses guards against hosts that lose their registration,
// the configuration or a promotion when each response of the store comes twice.
func TestHostsServeWhileStoreRepeatsResponses(t *testing.T) {
	for name, f := range map[string]responseproxy.Fault{
		"next request": repeatAtNextRequest, "late": {Repeat: 1, MaxDelay: 20 * time.Millisecond}, "at once": {Repeat: 1},
	} {
		t.Run(name, func(t *testing.T) {
			d := deployBehindRepeatingProxy(t, nil, 3, f)
			c := d.connect(0, "strict")
			c.must("STORE item x")
			d.awaitReplicas()
			d.group.Primary().Crash()
			c.awaitWrite("item")
			d.requireConfigChange(d.hosts)
			require.Zero(t, d.platform.TokenConflicts())
			for i, h := range d.hosts {
				require.Equal(t, 3, h.KnownHosts())
				require.Eventually(t, func() bool {
					return sum(t, d.metrics(i), "dotterelswitch_store_calls", "call", "renew_lease") > 0
				}, waitLimit, 10*pollInterval)
				require.EqualValues(t, 1, sum(t, d.metrics(i), "dotterelswitch_store_calls", "call", "grant_lease"), "registered once")
			}
		})
	}
}

// TestRejectedStoreAnswerIsLoggedAndCounted guards against an answer that is rejected without
// a trace.
func TestRejectedStoreAnswerIsLoggedAndCounted(t *testing.T) {
	log := &syncLog{}
	d := deployBehindRepeatingProxy(t, log, 1, repeatAtNextRequest)
	require.Eventually(t, func() bool {
		return sum(t, d.metrics(0), "dotterelswitch_platform_answers_rejected", "reason", "other_page") > 0
	}, waitLimit, 10*pollInterval)
	require.Regexp(t, `"event":626,.*"call":"/dotterelswitch/kv-range","reason":"other_page"`, log.String())
}
