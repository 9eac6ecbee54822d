package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"

	"github.com/dotterelswitch/dotterelswitch/node/demo"
	"github.com/dotterelswitch/dotterelswitch/node/exit"
	"github.com/dotterelswitch/dotterelswitch/standin/workload"
)

// errInvariantBroken reports a run that violated an invariant.
var errInvariantBroken = errors.New("at least one invariant was broken")

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run stand-ins, hosts and load in one process, with optional faults",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "edge", Value: "postgres", Usage: "postgres, or platform for the users' platform with the line protocol (faults: none, primary-crash, drain-primary, store-outage, store-restore, host-stop, key-revoked, limit-lowered)"},
			workloadFlag(),
			&cli.StringFlag{Name: "fault", Value: "none", Usage: "none, primary-crash, primary-partition, host-kill, store-outage, az-cut, rolling-restart, drain-primary, or several joined by +"},
			&cli.IntFlag{Name: "hosts", Value: 8, Usage: "entry hosts, 1 to 64"},
			&cli.IntFlag{Name: "callers", Value: 48, Usage: "client sessions, 1 to 5000"},
			&cli.DurationFlag{Name: "duration", Value: 20 * time.Second, Usage: "length of the load, 1s to 24h"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the load"},
			outputFlag(),
			&cli.StringFlag{Name: "log-level", Value: "error", Usage: "level of the hosts' log on standard error"},
		},
		Action: runDemo,
	}
}

func workloadFlag() cli.Flag {
	return &cli.StringFlag{Name: "workload", Value: "archive", Usage: "archive or consortium"}
}

func outputFlag() cli.Flag {
	return &cli.StringFlag{Name: "output", Value: "text", Usage: "text or json"}
}

func runDemo(ctx context.Context, c *cli.Command) error {
	switch c.String("edge") {
	case "platform":
		return runPlatformDemo(ctx, c)
	case "postgres":
	default:
		return &exit.UsageError{Text: fmt.Sprintf("--edge is %q; allowed are postgres and platform", c.String("edge"))}
	}
	opts, err := demoOptions(c)
	if err != nil {
		return err
	}
	report, err := demo.Run(ctx, opts)
	if err != nil {
		return err
	}
	return printReport(c.String("output"), report)
}

func demoOptions(c *cli.Command) (demo.Options, error) {
	faults, err := demo.ParseFaults(c.String("fault"))
	if err != nil {
		return demo.Options{}, &exit.UsageError{Text: err.Error()}
	}
	if _, err := workload.Get(c.String("workload")); err != nil {
		return demo.Options{}, &exit.UsageError{Text: err.Error()}
	}
	level, err := zerolog.ParseLevel(c.String("log-level"))
	if err != nil {
		return demo.Options{}, &exit.UsageError{Text: err.Error()}
	}
	progress := io.Writer(os.Stdout)
	if c.String("output") == "json" {
		progress = os.Stderr
	}
	opts := demo.Options{
		Workload: c.String("workload"), Faults: faults, Hosts: int(c.Int("hosts")), Callers: int(c.Int("callers")),
		Duration: c.Duration("duration"), Seed: c.Uint64("seed"), Progress: progress,
		Log: zerolog.New(os.Stderr).Level(level).With().Timestamp().Logger(),
	}
	return opts, errors.Join(
		checkRange("hosts", opts.Hosts, 1, 64), checkRange("callers", opts.Callers, 1, 5000),
		checkDuration(opts.Duration), checkOutput(c.String("output")),
	)
}

func checkRange(name string, value, low, high int) error {
	if value < low || value > high {
		return &exit.UsageError{Text: fmt.Sprintf("--%s is %d; allowed are %d to %d", name, value, low, high)}
	}
	return nil
}

func checkDuration(d time.Duration) error {
	if d < time.Second || d > 24*time.Hour {
		return &exit.UsageError{Text: fmt.Sprintf("--duration is %s; allowed are 1s to 24h", d)}
	}
	return nil
}

func checkOutput(value string) error {
	if value != "text" && value != "json" {
		return &exit.UsageError{Text: fmt.Sprintf("--output is %q; allowed are text and json", value)}
	}
	return nil
}

// printReport prints a report and returns errInvariantBroken if it has violations.
func printReport(output string, r *workload.Report) error {
	if output == "json" {
		if err := json.NewEncoder(os.Stdout).Encode(r); err != nil {
			return err
		}
	} else {
		demo.WriteText(os.Stdout, r)
	}
	if r.Violations.Any() {
		return errInvariantBroken
	}
	return nil
}
