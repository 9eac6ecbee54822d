package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"slices"

	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"

	"github.com/dotterelswitch/dotterelswitch/node/exit"
	"github.com/dotterelswitch/dotterelswitch/node/platformdemo"
)

// runPlatformDemo runs the demo with the users' platform in place of PostgreSQL.
func runPlatformDemo(ctx context.Context, c *cli.Command) error {
	level, err := zerolog.ParseLevel(c.String("log-level"))
	if err != nil {
		return &exit.UsageError{Text: err.Error()}
	}
	o := platformdemo.Options{
		Hosts: int(c.Int("hosts")), Callers: int(c.Int("callers")), Duration: c.Duration("duration"),
		Fault: platformdemo.Fault(c.String("fault")),
		Log:   zerolog.New(os.Stderr).Level(level).With().Timestamp().Logger(),
	}
	if !slices.Contains(platformdemo.Faults(), o.Fault) {
		return &exit.UsageError{Text: fmt.Sprintf("--fault is %q; with --edge platform allowed are %v", o.Fault, platformdemo.Faults())}
	}
	err = errors.Join(
		checkRange("hosts", o.Hosts, 1, 64), checkRange("callers", o.Callers, 1, 5000),
		checkDuration(o.Duration), checkOutput(c.String("output")),
	)
	if err != nil {
		return err
	}
	report, err := platformdemo.Run(ctx, o)
	if err != nil {
		return err
	}
	if c.String("output") == "json" {
		if err := json.NewEncoder(os.Stdout).Encode(report); err != nil {
			return err
		}
	} else {
		report.WriteText(os.Stdout)
	}
	if report.HasViolations() {
		return errInvariantBroken
	}
	return nil
}
