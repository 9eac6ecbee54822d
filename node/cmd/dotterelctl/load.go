package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/dotterelswitch/dotterelswitch/node/demo"
	"github.com/dotterelswitch/dotterelswitch/node/exit"
	"github.com/dotterelswitch/dotterelswitch/standin/workload"
)

func loadCommand() *cli.Command {
	return &cli.Command{
		Name:  "load",
		Usage: "generate load on running hosts and check every answer",
		Flags: []cli.Flag{
			workloadFlag(),
			&cli.StringSliceFlag{Name: "entry", Usage: "address of a host for callers; may be given several times", Required: true},
			&cli.StringSliceFlag{Name: "upstream", Usage: "address of a stand-in member whose contents are checked; may be given several times", Required: true},
			&cli.IntFlag{Name: "callers", Value: 48, Usage: "client sessions, 1 to 5000"},
			&cli.DurationFlag{Name: "duration", Value: 20 * time.Second, Usage: "length of the load, 1s to 24h"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the load"},
			outputFlag(),
		},
		Action: runLoad,
	}
}

func runLoad(ctx context.Context, c *cli.Command) error {
	spec, err := workload.Get(c.String("workload"))
	if err != nil {
		return &exit.UsageError{Text: err.Error()}
	}
	err = errors.Join(checkRange("callers", int(c.Int("callers")), 1, 5000), checkDuration(c.Duration("duration")),
		checkOutput(c.String("output")), checkAddresses("entry", c.StringSlice("entry")), checkAddresses("upstream", c.StringSlice("upstream")))
	if err != nil {
		return err
	}
	var entries []workload.Entry
	for _, address := range c.StringSlice("entry") {
		entries = append(entries, workload.Entry{Address: address})
	}
	load := workload.Start(ctx, workload.Options{
		Spec: spec, Entries: entries, Callers: int(c.Int("callers")), Duration: c.Duration("duration"),
		Seed: c.Uint64("seed"), Upstreams: c.StringSlice("upstream"),
	})
	report, err := load.Wait(ctx)
	if err != nil {
		return err
	}
	return printReport(c.String("output"), report)
}

func checkAddresses(flag string, addresses []string) error {
	for _, a := range addresses {
		host, _, err := net.SplitHostPort(a)
		if err != nil || net.ParseIP(host) == nil {
			return &exit.UsageError{Text: fmt.Sprintf("--%s is %q; allowed is an IP address and a port", flag, a)}
		}
	}
	return nil
}

func standinCommand() *cli.Command {
	return &cli.Command{
		Name:  "standin",
		Usage: "run a workload's database groups and platform on loopback until interrupted",
		Flags: []cli.Flag{
			workloadFlag(),
			&cli.IntFlag{Name: "services", Value: 3, Usage: "database groups of three members, 1 to 200"},
		},
		Action: runStandin,
	}
}

func printPlatformCalls(dep *workload.Deployment) {
	all, writes := dep.Platform.Calls()
	fmt.Fprintf(os.Stderr, "platform calls: %d, of them writes: %d\n", all, writes)
}

func runStandin(ctx context.Context, c *cli.Command) error {
	spec, err := workload.Get(c.String("workload"))
	if err != nil {
		return &exit.UsageError{Text: err.Error()}
	}
	if err := checkRange("services", int(c.Int("services")), 1, 200); err != nil {
		return err
	}
	spec.Services = int(c.Int("services"))
	dep, err := workload.Deploy(spec)
	if err != nil {
		return err
	}
	defer dep.Close()
	if err := demo.Publish(ctx, dep.Platform.Addr(), dep.Items()); err != nil {
		return err
	}
	defer printPlatformCalls(dep)
	fmt.Printf("DOTTERELSWITCH_PLATFORM=%s\n", dep.Platform.Addr())
	for _, z := range spec.Zones {
		fmt.Printf("# availability zone %s in region %s\n", z.Name, z.Region)
	}
	for _, a := range dep.UpstreamAddresses() {
		fmt.Printf("--upstream %s\n", a)
	}
	fmt.Println("ready")
	<-ctx.Done()
	fmt.Fprintln(os.Stderr, "stopping the stand-ins")
	return nil
}
