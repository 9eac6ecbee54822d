package entry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// abandonDetectionTime is how long a connection that was given up may still look open
// to its member: a closing loopback connection is seen in far less.
const abandonDetectionTime = 200 * time.Millisecond

// TestBusyPrimaryIsNotTreatedAsSilent: a strict read is tried again while
// the primary has no room. When its attempt is over it is refused; nothing is
// sent after that, whose missing answer would look like a dead primary.
func TestBusyPrimaryIsNotTreatedAsSilent(t *testing.T) {
	d := deploy(t, 1, options())
	d.setLatencyTarget(500*time.Millisecond, 2*time.Second)
	c := d.connect(0, "strict")
	c.must("STORE item x")
	c.must("FETCH item")
	primary := d.group.Primary()
	require.Zero(t, primary.Abandoned())
	primary.RefuseNext(1 << 20)
	require.Equal(t, "BUSY", c.do("FETCH item").code)
	primary.RefuseNext(0)
	c.must("FETCH item")
	// Another connection may have been opened, as the read before may not yet have
	// returned its own, and closed in order once it was spare for a second. None may
	// have been given up, which shows with a delay.
	require.Never(t, func() bool { return primary.Abandoned() > 0 }, abandonDetectionTime, pollInterval, "a connection was given up")
}
