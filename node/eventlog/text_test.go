package eventlog_test

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/node/eventlog"
)

// TestTextsFromOutsideAreShortInLog guards against log lines as large as a message: a
// caller's ID, a database that nobody knows, a member's answer that becomes an error.
func TestTextsFromOutsideAreShortInLog(t *testing.T) {
	const maxLineBytes = 2000
	long := strings.Repeat("é", 500_000)
	var out bytes.Buffer
	eventlog.CallerRejected.Warn(zerolog.New(&out)).Str("database", eventlog.Text(long)).Err(errors.New(long)).Send()
	require.Less(t, out.Len(), maxLineBytes)
	require.Equal(t, "i-7f", eventlog.Text("i-7f"))
	out.Reset()
	eventlog.RelayLost.Info(zerolog.New(&out)).Err(nil).Send()
	require.NotContains(t, out.String(), "error")
}
