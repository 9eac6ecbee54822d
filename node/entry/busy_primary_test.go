package entry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// abandonDetectionTime bounds the time until a member detects an abandoned loopback
// connection.
const abandonDetectionTime = 200 * time.Millisecond

// TestBusyPrimaryIsNotTreatedAsSilent guards against taking a primary that refuses
// reads as busy for a silent one: retries must end without an abandoned connection.
func TestBusyPrimaryIsNotTreatedAsSilent(t *testing.T) {
	d := deploy(t, 1, options())
	d.setLatencyTarget(500*time.Millisecond, 2*time.Second)
	c := d.connect(0, "strict")
	c.must("STORE item x")
	c.must("FETCH item")
	primary := d.group.Primary()
	require.Zero(t, primary.AbandonedConns())
	primary.RefuseStatements(1 << 20)
	require.Equal(t, "BUSY", c.do("FETCH item").code)
	primary.RefuseStatements(0)
	c.must("FETCH item")
	// Only abandoned connections count, as the pool may also have closed one
	// regularly. The member detects abandoned ones with a delay.
	require.Never(t, func() bool { return primary.AbandonedConns() > 0 }, abandonDetectionTime, pollInterval, "a connection was abandoned")
}
