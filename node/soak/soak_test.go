package soak

import (
	"context"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// buildProgram builds the program with the race detector and returns its path.
func buildProgram(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "dotterelswitch")
	out, err := exec.Command("go", "build", "-race", "-o", program, "github.com/dotterelswitch/dotterelswitch/node/cmd/dotterelswitch").CombinedOutput()
	require.NoError(t, err, string(out))
	return program
}

type deploymentSize struct{ hosts, callers, groups int }

var smallSize = deploymentSize{hosts: 4, callers: 12, groups: 1}

func soakFor(t *testing.T, program string, seed uint64, s deploymentSize, plan []Event, length time.Duration) {
	t.Helper()
	if s == (deploymentSize{}) {
		s = smallSize
	}
	r, err := Run(context.Background(), Options{
		Program: program, Dir: t.TempDir(), Seed: seed, Hosts: s.hosts, Callers: s.callers, Groups: s.groups, FaultPeriod: length, Plan: plan,
	})
	require.NoError(t, err)
	require.Empty(t, r.Findings, "faults: %q", r.Faults)
	require.Positive(t, r.Served)
}

// TestShortSoak checks the guarantees with real processes, under the faults of one
// seed and under the plans of earlier failures.
func TestShortSoak(t *testing.T) {
	program := buildProgram(t)
	t.Run("seed", func(t *testing.T) { soakFor(t, program, 3, smallSize, nil, 6*time.Second) })
	for _, c := range regressions {
		t.Run(c.name, func(t *testing.T) { soakFor(t, program, c.seed, c.deployment, c.plan, 0) })
	}
}
