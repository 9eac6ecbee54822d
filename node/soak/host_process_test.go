package soak

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"
)

// A host that is closed must not create its log file anew: the directory of a run without
// findings is removed, which failed where a restart was still due.
func TestClosedHostIsNotStarted(t *testing.T) {
	h := &hostProcess{name: "host-1", dir: t.TempDir(), program: "unused", closed: true}
	require.NoError(t, h.start())
	_, err := os.Stat(h.logPath())
	require.ErrorIs(t, err, os.ErrNotExist)
}
