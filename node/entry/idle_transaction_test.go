package entry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/connpool"
)

// TestIdleTransactionsYieldConnections guards against idle transactions that occupy
// all connections until other statements time out.
func TestIdleTransactionsYieldConnections(t *testing.T) {
	o := options()
	o.MaxConnections = 4
	d := deploy(t, 1, o)
	// One connection is reserved for probes.
	var idle []*client
	for range o.MaxConnections - 1 {
		c := d.connect(0, "strict")
		c.must("BEGIN")
		c.must("STORE item held")
		idle = append(idle, c)
	}
	time.Sleep(connpool.MaxIdleInTransaction + 100*time.Millisecond)
	startedAt := time.Now()
	d.connect(0, "strict").must("STORE item x")
	require.Less(t, time.Since(startedAt), timeout/2, "the write waited for the idle timeout")
	aborted := 0
	for _, c := range idle {
		switch res := c.do("COMMIT"); res.code {
		case "":
		case "ABORTED":
			aborted++
			require.Zero(t, d.group.CommitCount(res.id))
		default:
			t.Fatalf("a commit was answered with %s", res.code)
		}
	}
	require.Equal(t, 1, aborted, "only one connection was needed")
}
