package entry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/connpool"
)

// TestIdleTransactionsYieldConnections replays callers that begin a
// transaction, write, and rest for longer than others can wait: ten seconds
// here, both the limit of a rest and the statements' timeout.
func TestIdleTransactionsYieldConnections(t *testing.T) {
	o := options()
	o.MaxConnections = 4
	d := deploy(t, 1, o)
	// The hosts leave one connection for probes.
	var resting []*client
	for range o.MaxConnections - 1 {
		c := d.connect(0, "strict")
		c.must("BEGIN")
		c.must("STORE item held")
		resting = append(resting, c)
	}
	time.Sleep(connpool.MaxIdleInTransaction + 100*time.Millisecond)
	began := time.Now()
	d.connect(0, "strict").must("STORE item x")
	require.Less(t, time.Since(began), timeout/2, "it does not wait until the rests are over")
	ended := 0
	for _, c := range resting {
		switch res := c.do("COMMIT"); res.code {
		case "":
		case "ABORTED":
			ended++
			require.Zero(t, d.group.Committed(res.id))
		default:
			t.Fatalf("a commit was answered with %s", res.code)
		}
	}
	require.Equal(t, 1, ended, "no more than were needed")
}
