// Command fleet measures the control-plane overhead of a host. It starts the
// stand-ins and a fleet of host processes on loopback, idle or under load, and
// prints the mean processor time, memory and traffic of a host.
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
		Usage: "measure the control-plane overhead of an idle fleet",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "bin", Value: ".", Usage: "directory of the two binaries", Destination: &o.binDir},
			&cli.StringFlag{Name: "workload", Value: "archive", Usage: "archive or consortium", Destination: &o.workload},
			&cli.IntFlag{Name: "hosts", Value: 8, Usage: "host processes", Destination: &o.hosts},
			&cli.IntFlag{Name: "services", Value: 3, Usage: "database groups of three members", Destination: &o.services},
			&cli.IntFlag{Name: "callers", Value: 0, Usage: "idle callers on the first host", Destination: &o.idleCallers},
			&cli.IntFlag{Name: "load", Value: 0, Usage: "sessions that make requests during the measurement; no fault is injected", Destination: &o.loadSessions},
			&cli.DurationFlag{Name: "settle", Value: 15 * time.Second, Usage: "time before the measurement", Destination: &o.settleTime},
			&cli.DurationFlag{Name: "span", Value: 20 * time.Second, Usage: "length of the measurement", Destination: &o.duration},
		},
		Action: func(ctx context.Context, _ *cli.Command) error { return run(ctx, o) },
	}
	if err := cmd.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "fleet:", err)
		os.Exit(1)
	}
}

type options struct {
	binDir, workload                           string
	hosts, services, idleCallers, loadSessions int
	settleTime, duration                       time.Duration
}

func run(ctx context.Context, o options) error {
	f, err := startFleet(ctx, o)
	defer f.stop()
	if err != nil {
		return err
	}
	if err := f.openIdleSessions(ctx, o.idleCallers); err != nil {
		return err
	}
	time.Sleep(o.settleTime)
	before, err := f.sample()
	if err != nil {
		return err
	}
	report, err := f.runMeasurement(ctx, o)
	if err != nil {
		return err
	}
	after, err := f.sample()
	if err != nil {
		return err
	}
	printUsage(o, before, after)
	if report != nil {
		printLoad(o, report, before, after)
	}
	return nil
}

// printLoad prints the results of the load and the hosts' total processor time per
// request.
func printLoad(o options, r *workload.Report, before, after []resourceUsage) {
	var cpu time.Duration
	for i := range after {
		cpu += after[i].cpuTime - before[i].cpuTime
	}
	requests := r.Reads + r.WritesAcked
	fmt.Printf("load=%d requests_per_s=%.0f host_cpu_us_per_request=%.1f replica_read_share=%.3f read_p50_ms=%.2f read_p99_ms=%.2f write_p50_ms=%.2f write_p99_ms=%.2f cut=%d violations=%+v\n",
		o.loadSessions, float64(requests)/o.duration.Seconds(), float64(cpu.Microseconds())/float64(requests), r.ReplicaReadShare,
		r.ReadP50MS, r.ReadP99MS, r.WriteP50MS, r.WriteP99MS, r.UnansweredRequests, r.Violations)
}

// printUsage prints the mean usage per host, and the memory of the first host.
func printUsage(o options, before, after []resourceUsage) {
	n, seconds := float64(len(after)), o.duration.Seconds()
	var cpu, rss, peers, platform, control, gossip float64
	for i := range after {
		cpu += (after[i].cpuTime - before[i].cpuTime).Seconds()
		rss += float64(after[i].rssBytes)
		peers += after[i].peerBytes - before[i].peerBytes
		gossip += after[i].gossipBytes - before[i].gossipBytes
		platform += after[i].platformBytes - before[i].platformBytes
		control += after[i].controlBytes - before[i].controlBytes
	}
	const mebibyte = 1 << 20
	fmt.Printf("hosts=%d services=%d callers=%d cpu_percent=%.2f rss_mb=%.1f first_rss_mb=%.1f peer_Bps=%.0f gossip_Bps=%.0f platform_Bps=%.0f probe_Bps=%.0f\n",
		o.hosts, o.services, o.idleCallers, 100*cpu/n/seconds, rss/n/mebibyte, float64(after[0].rssBytes)/mebibyte,
		peers/n/seconds, gossip/n/seconds, platform/n/seconds, control/n/seconds)
}
