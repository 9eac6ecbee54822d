package eventlog_test

import (
	"bytes"
	"os"
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/node/eventlog"
)

// Writes more than the capacity of a pipe that has no reader.
func TestWriterDoesNotBlockOnStuckReader(t *testing.T) {
	r, out, err := os.Pipe()
	require.NoError(t, err)
	defer func() { _ = r.Close() }()
	w := eventlog.NewWriter(out)
	log := zerolog.New(w)
	for range 20_000 {
		eventlog.StatementFailed.Info(log).Str("cause", strings.Repeat("x", 200)).Send()
	}
	w.Close()
}

func TestWriterDeliversLines(t *testing.T) {
	var out bytes.Buffer
	w := eventlog.NewWriter(&out)
	log := zerolog.New(w)
	eventlog.Started.Info(log).Send()
	w.Close()
	require.Contains(t, out.String(), `"name":"host_started"`)
	require.Zero(t, w.Dropped())
}
