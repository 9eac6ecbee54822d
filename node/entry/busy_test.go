package entry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestMemberWithoutRoomIsNotTakenForSilent: a strict read is tried again while
// the primary has no room. When its attempt is over it is refused; nothing is
// sent after that, whose missing answer would look like a dead primary.
func TestMemberWithoutRoomIsNotTakenForSilent(t *testing.T) {
	d := deploy(t, 1, options())
	short := routes(2 * time.Second)
	for i := range short {
		short[i].Target = 500 * time.Millisecond
	}
	version := d.platform.Configure(short, timeout)
	require.Eventually(t, func() bool { return d.hosts[0].Catalog().Version == version }, eventually, poll)
	c := d.connect(0, "strict")
	c.must("STORE item x")
	c.must("FETCH item")
	before := d.logins()
	primary := d.group.Primary()
	primary.RefuseNext(1 << 20)
	require.Equal(t, "BUSY", c.do("FETCH item").code)
	primary.RefuseNext(0)
	c.must("FETCH item")
	require.Equal(t, before, d.logins(), "no connection was given up")
}
