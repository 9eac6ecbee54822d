package entry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestOnlyGateHostsProbeGroupWithoutPrimary guards against probes by all hosts while
// a group has no primary: probe connections use up the members' slots, so only the
// hosts that are gates may probe.
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
	// The surveys of the refused promotions need about 40 logins in this time;
	// probes by the whole fleet would need about 170.
	require.Less(t, d.logins()-before, 80)
}

// logins returns the number of connection attempts at all members.
func (d *deployment) logins() int {
	sum := int64(0)
	for _, m := range d.group.Members() {
		accepted, refused := m.Logins()
		sum += accepted + refused
	}
	return int(sum)
}
