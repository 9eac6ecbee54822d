package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"github.com/dotterelswitch/dotterelswitch/core/fleetsim"
	"github.com/dotterelswitch/dotterelswitch/node/exit"
	"github.com/dotterelswitch/dotterelswitch/node/fleetplot"
)

func fleetCommand() *cli.Command {
	defaults := fleetsim.DefaultOptions(0)
	return &cli.Command{
		Name:  "fleet",
		Usage: "simulate fleets of several sizes: how fast changes reach all hosts, and what the busiest host sends",
		Flags: []cli.Flag{
			&cli.IntSliceFlag{Name: "hosts", Value: []int{30, 100, 300, 1000}, Usage: "sizes of the fleets"},
			&cli.IntFlag{Name: "zones", Value: defaults.Zones, Usage: "availability zones"},
			&cli.FloatFlag{Name: "groups-per-host", Value: defaults.GroupsPerHost, Usage: "database groups of three members for each host"},
			&cli.IntFlag{Name: "config-bytes", Value: defaults.ConfigBytes, Usage: "size of the configuration"},
			&cli.DurationFlag{Name: "config-apply-time", Value: defaults.ConfigApplyTime, Usage: "time within which a change must be in force"},
			&cli.StringFlag{Name: "fault", Value: string(defaults.Fault), Usage: "what happens beside the change: none, relays (each zone loses its relay), store (it refuses a third of the hosts), compaction (it forgets its history and answers no watch for 3 s), half (of the hosts restart at once), restart (all do) or sources (all do but the hosts that list the store for the others)"},
			&cli.DurationFlag{Name: "store-filled-at", Value: defaults.StoreFilledAt, Usage: "when the first configuration and the members' entries are written, after the start of the hosts; 0: before"},
			&cli.Uint64Flag{Name: "seed", Value: defaults.Seed, Usage: "seed of all random choices"},
			&cli.StringFlag{Name: "output", Value: "table", Usage: "table, json, or the name of a .svg or .png file for a plot"},
		},
		Action: func(_ context.Context, c *cli.Command) error { return runFleets(c) },
	}
}

func runFleets(c *cli.Command) error {
	output := c.String("output")
	if output != "table" && output != "json" && !fleetplot.IsPlot(output) {
		return &exit.UsageError{Text: "--output must be table, json, or a file name that ends with .svg or .png"}
	}
	var results []fleetsim.Result
	for _, hosts := range c.IntSlice("hosts") {
		r, err := fleetsim.Run(fleetsim.Options{
			Hosts: hosts, Zones: c.Int("zones"), GroupsPerHost: c.Float("groups-per-host"), ConfigBytes: c.Int("config-bytes"),
			ConfigApplyTime: c.Duration("config-apply-time"), Fault: fleetsim.Fault(c.String("fault")), Seed: c.Uint64("seed"), StoreFilledAt: c.Duration("store-filled-at"),
		})
		if err != nil {
			return &exit.UsageError{Text: err.Error()}
		}
		results = append(results, r)
	}
	switch output {
	case "json":
		return json.NewEncoder(os.Stdout).Encode(results)
	case "table":
		return printFleets(os.Stdout, results)
	}
	return fleetplot.Write(output, results)
}

func printFleets(w io.Writer, results []fleetsim.Result) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "HOSTS\tSTART MIDDLE\tLAST s\tCHANGE MIDDLE\tLAST s\tLATE HOSTS\tCALLS/s\tAT PEAK\tREFUSED\tBUSIEST HOST KB/s\tQUEUED KB\t")
	for _, r := range results {
		fmt.Fprintf(t, "%d\t%.2f\t%.2f\t%.2f\t%.2f\t%d\t%.0f\t%d\t%d\t%.1f\t%d\t\n", r.Hosts,
			r.StartMiddle.Seconds(), r.StartLast.Seconds(), r.ChangeMiddle.Seconds(), r.ChangeLast.Seconds(), r.Late,
			r.CalmCalls, r.PeakCalls, r.RefusedCalls, r.CalmBytes/1000, r.MaxQueuedBytes/1000)
	}
	return t.Flush()
}
