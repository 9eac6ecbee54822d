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

// size is how large a deployment is.
type size struct{ hosts, callers, groups int }

// smallSize is enough for most faults.
var smallSize = size{hosts: 4, callers: 12, groups: 1}

func soakFor(t *testing.T, program string, seed uint64, s size, plan []Event, length time.Duration) {
	t.Helper()
	if s == (size{}) {
		s = smallSize
	}
	r, err := Run(context.Background(), Options{
		Program: program, Dir: t.TempDir(), Seed: seed, Hosts: s.hosts, Callers: s.callers, Groups: s.groups, Length: length, Plan: plan,
	})
	require.NoError(t, err)
	require.Empty(t, r.Findings, "faults: %q", r.Faults)
	require.Positive(t, r.Served)
}

// TestShortSoak keeps the promises with real processes under the faults of one
// seed, and under the plans that once failed.
func TestShortSoak(t *testing.T) {
	program := build(t)
	t.Run("seed", func(t *testing.T) { soakFor(t, program, 3, smallSize, nil, 6*time.Second) })
	for _, c := range regressions {
		t.Run(c.name, func(t *testing.T) { soakFor(t, program, c.seed, c.size, c.plan, 0) })
	}
}
