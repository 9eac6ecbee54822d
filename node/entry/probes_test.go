package entry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestOnlyGateHostsProbeGroupWithoutPrimary replays the loss of a primary
// that nobody replaces yet, on a fleet that is large for its members: the
// members that are left have connections for a few hosts only, and each
// connection takes one of their slots. Only the hosts that keep them may probe.
func TestOnlyGateHostsProbeGroupWithoutPrimary(t *testing.T) {
	d := deploy(t, 14, options())
	for host := range d.hosts {
		d.connect(host, "strict").must("STORE item x")
	}
	d.platform.RefusePromotions(1 << 20)
	d.group.Primary().Crash()
	for host := range d.hosts {
		go func() { _, _ = d.connect(host, "strict").try("STORE item y") }()
	}
	time.Sleep(2 * time.Second)
	before := d.logins()
	time.Sleep(2 * time.Second)
	// A fleet that probes as a whole makes about 170 attempts in this time; the
	// surveys of the promotions that are refused make about 40.
	require.Less(t, d.logins()-before, 80)
}

// logins counts the connections that members were asked for.
func (d *deployment) logins() int {
	sum := int64(0)
	for _, m := range d.group.Members() {
		accepted, crowded := m.Logins()
		sum += accepted + crowded
	}
	return int(sum)
}
