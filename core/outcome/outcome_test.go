package outcome_test

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/outcome"
)

// row is the line of docs/OUTCOMES.md for a code.
func row(c outcome.Code) string {
	i := c.Info()
	return fmt.Sprintf("| %s | %s | %s | %t | %s |", i.Name, i.SQLState, i.Ran, i.Retry, i.Meaning)
}

func TestTableInTheDocs(t *testing.T) {
	data, err := os.ReadFile("../../docs/OUTCOMES.md")
	require.NoError(t, err)
	lines := strings.Split(string(data), "\n")
	var want []string
	for _, c := range outcome.Codes() {
		want = append(want, row(c))
	}
	var got []string
	for _, line := range lines {
		if strings.HasPrefix(line, "| ") && !strings.HasPrefix(line, "| outcome ") {
			got = append(got, line)
		}
	}
	require.Equal(t, want, got)
}

func TestNotRunIsNeverSaidOfAnUnknownOutcome(t *testing.T) {
	for _, c := range outcome.Codes() {
		r := outcome.Refuse(c, "x").After(time.Second)
		require.Equal(t, c.Info().Ran == outcome.RanNo, r.NotRun())
		require.Len(t, c.Info().SQLState, 5, c)
		require.False(t, c.Info().Ran == outcome.RanUnknown && c.Info().Retry, "%s: an unknown outcome must not be repeated blindly", c)
	}
}
