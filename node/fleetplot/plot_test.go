package fleetplot

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/fleetsim"
)

func TestWritesAPlot(t *testing.T) {
	results := []fleetsim.Result{
		{Hosts: 30, StartMiddle: 100 * time.Millisecond, StartLast: 200 * time.Millisecond},
		{Hosts: 300, StartMiddle: 200 * time.Millisecond, StartLast: 900 * time.Millisecond, ChangeMiddle: time.Second, ChangeLast: 2 * time.Second},
	}
	for _, name := range []string{"fleet.svg", "fleet.png"} {
		require.True(t, IsPlot(name))
		file := filepath.Join(t.TempDir(), name)
		require.NoError(t, Write(file, results))
		info, err := os.Stat(file)
		require.NoError(t, err)
		require.NotZero(t, info.Size())
	}
	require.False(t, IsPlot("fleet.txt"))
}

func TestUnwritableFileIsAnError(t *testing.T) {
	var failed *Error
	require.ErrorAs(t, Write(filepath.Join(t.TempDir(), "missing", "fleet.svg"), nil), &failed)
}
