package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/dotterelswitch/dotterelswitch/node/exit"
	"github.com/dotterelswitch/dotterelswitch/node/soak"
)

func soakCommand() *cli.Command {
	return &cli.Command{
		Name:  "soak",
		Usage: "run hosts as processes on this machine, inject faults and check the guarantees to callers",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "program", Usage: "path of the dotterelswitch binary", Required: true},
			&cli.Uint64Flag{Name: "seed", Usage: "first seed", Value: 1},
			&cli.IntFlag{Name: "seeds", Usage: "number of seeds, one run each", Value: 1},
			&cli.IntFlag{Name: "hosts", Usage: "host processes", Value: 6},
			&cli.IntFlag{Name: "callers", Usage: "callers", Value: 24},
			&cli.IntFlag{Name: "groups", Usage: "database groups of three members", Value: 2},
			&cli.DurationFlag{Name: "duration", Usage: "how long faults are injected in each run", Value: 20 * time.Second},
			&cli.StringFlag{Name: "dir", Usage: "directory for settings and logs; those of failed runs are kept", Value: filepath.Join(os.TempDir(), "dotterelswitch-soak")},
		},
		Action: runSoak,
	}
}

func runSoak(ctx context.Context, c *cli.Command) error {
	if c.Args().Len() > 0 {
		return &exit.UsageError{Text: "unexpected argument " + c.Args().First()}
	}
	err := errors.Join(
		checkRange("seeds", int(c.Int("seeds")), 1, 10_000), checkRange("hosts", int(c.Int("hosts")), 1, 100),
		checkRange("callers", int(c.Int("callers")), 1, 2000), checkRange("groups", int(c.Int("groups")), 1, 20),
		checkDuration(c.Duration("duration")),
	)
	if err != nil {
		return err
	}
	foundViolations := false
	for n := range uint64(c.Int("seeds")) {
		seed := c.Uint64("seed") + n
		report, err := runSeed(ctx, c, seed)
		if err != nil {
			return err
		}
		if ctx.Err() != nil {
			return fmt.Errorf("interrupted during seed %d; later seeds were not run", seed)
		}
		foundViolations = foundViolations || len(report.Findings) > 0
	}
	if foundViolations {
		return errInvariantBroken
	}
	return nil
}

// runSeed runs one seed and prints its report. The logs are kept if the run has
// findings.
func runSeed(ctx context.Context, c *cli.Command, seed uint64) (*soak.Report, error) {
	dir := filepath.Join(c.String("dir"), fmt.Sprintf("seed-%d", seed))
	if err := os.RemoveAll(dir); err != nil {
		return nil, err
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	report, err := soak.Run(ctx, soak.Options{
		Program: c.String("program"), Dir: dir, Seed: seed, Hosts: int(c.Int("hosts")),
		Callers: int(c.Int("callers")), Groups: int(c.Int("groups")), FaultPeriod: c.Duration("duration"),
	})
	if err != nil {
		return nil, err
	}
	if len(report.Findings) == 0 {
		if err := os.RemoveAll(dir); err != nil {
			return nil, err
		}
	}
	return report, json.NewEncoder(os.Stdout).Encode(report)
}
