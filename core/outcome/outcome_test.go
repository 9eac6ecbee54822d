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

// tableRow returns the table row of docs/OUTCOMES.md for a code.
func tableRow(c outcome.Code) string {
	i := c.Info()
	return fmt.Sprintf("| %s | %s | %s | %t | %s |", i.Name, i.SQLState, i.Ran, i.Retry, i.Meaning)
}

func TestDocsTableMatchesCodes(t *testing.T) {
	data, err := os.ReadFile("../../docs/OUTCOMES.md")
	require.NoError(t, err)
	lines := strings.Split(string(data), "\n")
	var want []string
	for _, c := range outcome.Codes() {
		want = append(want, tableRow(c))
	}
	var got []string
	for _, line := range lines {
		if strings.HasPrefix(line, "| ") && !strings.HasPrefix(line, "| outcome ") {
			got = append(got, line)
		}
	}
	require.Equal(t, want, got)
}

func TestNotRunAndRetryExcludeUnknownOutcomes(t *testing.T) {
	for _, c := range outcome.Codes() {
		r := outcome.Refuse(c, "x").WithRetryAfter(time.Second)
		require.Equal(t, c.Info().Ran == outcome.RanNo, r.NotRun())
		require.Len(t, c.Info().SQLState, 5, c)
		require.False(t, c.Info().Ran == outcome.RanUnknown && c.Info().Retry, "%s: a request with an unknown outcome must not be retried", c)
	}
}
