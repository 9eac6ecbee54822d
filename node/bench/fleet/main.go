// Command fleet measures what control costs a host: it starts the stand-ins
// and a fleet of host processes on loopback, leaves them idle, and prints each
// host's mean processor time, memory and bytes, and the platform's calls.
package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/dotterelswitch/dotterelswitch/standin/workload"
)

func main() {
	var o options
	cmd := &cli.Command{
		Name:  "fleet",
		Usage: "measure the cost of control on an idle fleet",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "bin", Value: ".", Usage: "directory of the two binaries", Destination: &o.bin},
			&cli.StringFlag{Name: "workload", Value: "archive", Usage: "archive or consortium", Destination: &o.workload},
			&cli.IntFlag{Name: "hosts", Value: 8, Usage: "host processes", Destination: &o.hosts},
			&cli.IntFlag{Name: "services", Value: 3, Usage: "database groups of three members", Destination: &o.services},
			&cli.IntFlag{Name: "callers", Value: 0, Usage: "idle callers on the first host", Destination: &o.callers},
			&cli.IntFlag{Name: "load", Value: 0, Usage: "sessions that make requests during the measurement; no fault is injected", Destination: &o.load},
			&cli.DurationFlag{Name: "settle", Value: 15 * time.Second, Usage: "time before the measurement", Destination: &o.settle},
			&cli.DurationFlag{Name: "span", Value: 20 * time.Second, Usage: "length of the measurement", Destination: &o.span},
		},
		Action: func(ctx context.Context, _ *cli.Command) error { return run(ctx, o) },
	}
	if err := cmd.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "fleet:", err)
		os.Exit(1)
	}
}

// options describe a measurement.
type options struct {
	bin, workload                  string
	hosts, services, callers, load int
	settle, span                   time.Duration
}

func run(ctx context.Context, o options) error {
	f, err := startFleet(ctx, o)
	defer f.stop()
	if err != nil {
		return err
	}
	if err := f.addCallers(ctx, o.callers); err != nil {
		return err
	}
	time.Sleep(o.settle)
	before, err := f.sample()
	if err != nil {
		return err
	}
	report, err := f.spend(ctx, o)
	if err != nil {
		return err
	}
	after, err := f.sample()
	if err != nil {
		return err
	}
	printRow(o, before, after)
	if report != nil {
		printLoad(o, report, before, after)
	}
	return nil
}

// printLoad prints what a request costs the hosts, all together.
func printLoad(o options, r *workload.Report, before, after []reading) {
	var cpu time.Duration
	for i := range after {
		cpu += after[i].cpu - before[i].cpu
	}
	requests := r.Reads + r.WritesAcked
	fmt.Printf("load=%d requests_per_s=%.0f host_cpu_us_per_request=%.1f replica_read_share=%.3f read_p50_ms=%.2f read_p99_ms=%.2f write_p50_ms=%.2f write_p99_ms=%.2f cut=%d violations=%+v\n",
		o.load, float64(requests)/o.span.Seconds(), float64(cpu.Microseconds())/float64(requests), r.ReplicaReadShare,
		r.ReadP50MS, r.ReadP99MS, r.WriteP50MS, r.WriteP99MS, r.UnansweredRequests, r.Violations)
}

// printRow prints the mean over the hosts, and the first host's memory.
func printRow(o options, before, after []reading) {
	n, seconds := float64(len(after)), o.span.Seconds()
	var cpu, rss, peers, platform, control, gossip float64
	for i := range after {
		cpu += (after[i].cpu - before[i].cpu).Seconds()
		rss += float64(after[i].rss)
		peers += after[i].peers - before[i].peers
		gossip += after[i].gossip - before[i].gossip
		platform += after[i].platform - before[i].platform
		control += after[i].control - before[i].control
	}
	const mega = 1 << 20
	fmt.Printf("hosts=%d services=%d callers=%d cpu_percent=%.2f rss_mb=%.1f first_rss_mb=%.1f peer_Bps=%.0f gossip_Bps=%.0f platform_Bps=%.0f probe_Bps=%.0f\n",
		o.hosts, o.services, o.callers, 100*cpu/n/seconds, rss/n/mega, float64(after[0].rss)/mega,
		peers/n/seconds, gossip/n/seconds, platform/n/seconds, control/n/seconds)
}
