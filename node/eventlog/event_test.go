package eventlog_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/node/eventlog"
)

// TestEventsMatchCatalogue checks that the code and docs/EVENTS.md list the same
// events.
func TestEventsMatchCatalogue(t *testing.T) {
	data, err := os.ReadFile("../../docs/EVENTS.md")
	require.NoError(t, err)
	rows := map[string]bool{}
	for line := range strings.Lines(string(data)) {
		cells := strings.Split(line, "|")
		if len(cells) > 3 && strings.Contains(cells[2], "_") {
			rows[strings.TrimSpace(cells[1])+" "+strings.TrimSpace(cells[2])] = true
		}
	}
	last := 0
	for _, e := range eventlog.All() {
		require.Greater(t, e.Number, last, "events must be ordered by number")
		last = e.Number
		key := fmt.Sprintf("%d %s", e.Number, e.Name)
		require.True(t, rows[key], "docs/EVENTS.md lacks %s", key)
		delete(rows, key)
	}
	require.Empty(t, rows, "docs/EVENTS.md lists events that the code lacks")
}
