package entry_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/node/clock"
)

// addGhostHosts registers hosts that do not run, so that few duties fall to real ones.
// Connections to them are refused.
func (d *deployment) addGhostHosts(count int) {
	d.t.Helper()
	for i := range count {
		zone := []string{"a", "b", "c"}[i%3]
		d.platform.Store.Put(fmt.Sprint("dotterelswitch/hosts/ghost-", i), fmt.Appendf(nil, "%s 127.0.0.1:1 0 1", zone))
	}
}

// addGhostGroups declares groups whose members do not run, besides "svc".
func (d *deployment) addGhostGroups(count int) {
	d.t.Helper()
	routes := []string{`{"name":"own","host":"own","type":"read_your_writes","service":"svc","timeout_ms":10000,"target_latency_ms":10000,"priority":1,"max_staleness_ms":2500}`}
	services := []string{`{"name":"svc","max_conns":30,"sync_replicas":0}`}
	for i := range count {
		service := fmt.Sprint("ghost-", i)
		routes = append(routes, fmt.Sprintf(`{"name":"%s","host":"%s","type":"primary","service":"%s","timeout_ms":1000,"target_latency_ms":1000,"priority":1,"max_staleness_ms":0}`, service, service, service))
		services = append(services, fmt.Sprintf(`{"name":"%s","max_conns":185,"sync_replicas":0}`, service))
		for j, zone := range []string{"a", "b", "c"} {
			role := "replica"
			if j == 0 {
				role = "primary"
			}
			d.platform.Store.Put(fmt.Sprintf("servers/%s-%d", service, j), fmt.Appendf(nil,
				`{"service":"%s","address":"127.0.0.1:1","zone":"%s","version":"v1","capacity":2,"state":"ready","cold_left_ms":0,"db_role":"%s","sequence":1,"born":1}`, service, zone, role))
		}
	}
	d.platform.Store.Put("op/config", fmt.Appendf(nil, `{"version":1000,"routes":[%s],"services":[%s],"limits":{"tx_idle_ms":10000}}`, strings.Join(routes, ","), strings.Join(services, ",")))
}

// TestHostKeepsNoStateForGroupsThatItDoesNotServe guards against memory and processor time
// that grow with the groups of the fleet on every host.
func TestHostKeepsNoStateForGroupsThatItDoesNotServe(t *testing.T) {
	const hosts, groups = 300, 300
	d := deployPlatform(t, options())
	d.logWriter = zerolog.Nop()
	d.addGhostHosts(hosts - 1)
	d.addGhostGroups(groups)
	h := d.addHost()
	require.Eventually(t, func() bool { return h.ActiveGroups() > 0 }, waitLimit, pollInterval)
	// Nine voters and three gates for each of three members are 18 duties a host in the
	// mean.
	require.Never(t, func() bool { return h.ActiveGroups() > 40 }, time.Second, 50*time.Millisecond)
}

// TestGroupIsActiveWhileItIsUsed checks that a caller's statement makes a group active on
// a host that is not responsible for it, and that the group is dropped afterwards.
func TestGroupIsActiveWhileItIsUsed(t *testing.T) {
	d := deployPlatform(t, options())
	d.logWriter = zerolog.Nop()
	d.addGhostHosts(60)
	d.addGhostGroups(0)
	h := d.addHost()
	require.Never(t, func() bool { return h.Set("svc") != nil }, 300*time.Millisecond, pollInterval, "not responsible")
	c := d.connect(0, "own")
	require.Empty(t, c.do("STORE item y").code)
	require.NotNil(t, h.Set("svc"))
	h.DropUnusedGroups(clock.Now())
	require.NotNil(t, h.Set("svc"), "used lately")
	require.Eventually(t, func() bool {
		h.DropUnusedGroups(clock.Now() + time.Hour)
		return h.Set("svc") == nil
	}, waitLimit, pollInterval)
	require.Empty(t, c.do("FETCH item").code, "it becomes active again")
}
