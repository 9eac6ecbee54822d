package entry_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/standin/linecaller"
)

// maxLogLineBytes bounds the lines of a host's log, whatever others send or write.
const maxLogLineBytes = 8 << 10

func requireShortLines(t *testing.T, log string) {
	t.Helper()
	for line := range strings.Lines(log) {
		require.Less(t, len(line), maxLogLineBytes, "%.300s", line)
	}
}

// TestTextsOfCallersAreShortInLog guards against log lines of hundreds of kilobytes, written
// for the database that a caller names and for the ID of a request.
func TestTextsOfCallersAreShortInLog(t *testing.T) {
	d := deployPlatform(t, options())
	log := &syncLog{}
	d.logWriter = log
	d.addHost()
	long := strings.Repeat("x", 300_000)
	_, err := linecaller.Open(d.settings[0].CallerAddress, long, "a", waitLimit)
	require.Error(t, err)
	session, err := linecaller.Open(d.settings[0].CallerAddress, "strict", long, waitLimit)
	require.NoError(t, err)
	defer session.Close()
	_, err = session.Run("EXECUTE unknown item")
	require.NoError(t, err)
	_, err = session.Run("FETCH item")
	require.NoError(t, err)
	require.Contains(t, log.String(), "unknown database")
	require.Contains(t, log.String(), "statement_served")
	requireShortLines(t, log.String())
}
