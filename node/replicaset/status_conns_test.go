package replicaset

import (
	"fmt"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/logpos"
)

// TestStatusReplacesOneConnection guards against a control operation that closes all idle
// connections which cannot tell a status from earlier answers, though it needs one.
func TestStatusReplacesOneConnection(t *testing.T) {
	const conns = 4
	var mu sync.Mutex
	answered := 0
	_, s, m := newScriptedMember(t, func(_ int, text string) string {
		mu.Lock()
		defer mu.Unlock()
		if text == "STATUS" {
			return "DATAROW replica 1 1.1 0 0 0 4\r\nCOMPLETE -\r\nREADY I 1.1\r\n"
		}
		answered++
		return fmt.Sprintf("ERROR LAGGING p\r\nREADY I 1.%d\r\n", answered)
	})
	var open []*Conn
	for range conns {
		j := scriptedJob(JobRead, "FETCH a")
		c, err := m.acquireSuitable(t.Context(), j.Request.waiter(), j.suits(m))
		require.NoError(t, err)
		_, err = c.run(j.Request.Statement, logpos.Position{Term: 1, Offset: 9}, j.Request.Deadline)
		require.NoError(t, err)
		open = append(open, c)
	}
	for _, c := range open {
		m.release(c)
	}
	_, err := s.Status(t.Context(), m)
	require.NoError(t, err)
	m.mu.Lock()
	idle := m.pool.Idle()
	m.mu.Unlock()
	require.GreaterOrEqual(t, idle, conns, "%d connections were open", conns)
}
