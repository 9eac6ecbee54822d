package soak

import (
	"context"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// build returns the path of the program, built with the race detector.
func build(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "dotterelswitch")
	out, err := exec.Command("go", "build", "-race", "-o", program, "github.com/dotterelswitch/dotterelswitch/node/cmd/dotterelswitch").CombinedOutput()
	require.NoError(t, err, string(out))
	return program
}

func soakFor(t *testing.T, program string, seed uint64, plan []Event, length time.Duration) {
	t.Helper()
	r, err := Run(context.Background(), Options{
		Program: program, Dir: t.TempDir(), Seed: seed, Hosts: 4, Callers: 12, Groups: 1, Length: length, Plan: plan,
	})
	require.NoError(t, err)
	require.Empty(t, r.Findings, "faults: %q", r.Faults)
	require.Positive(t, r.Served)
}

// TestShortSoak keeps the promises with real processes under the faults of one
// seed, and under the plans that once failed.
func TestShortSoak(t *testing.T) {
	program := build(t)
	t.Run("seed", func(t *testing.T) { soakFor(t, program, 3, nil, 6*time.Second) })
	for _, c := range regressions {
		t.Run(c.name, func(t *testing.T) { soakFor(t, program, c.seed, c.plan, 0) })
	}
}
