package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"github.com/dotterelswitch/dotterelswitch/standin/workload"
)

// fleet is a stand-in process and the host processes that use it.
type fleet struct {
	standin         *exec.Cmd
	hosts           []*hostProcess
	idleSessions    []*pgconn.PgConn
	memberAddresses []string
}

type hostProcess struct {
	cmd             *exec.Cmd
	listen, metrics string
}

// resourceUsage is what one host has used since its start.
type resourceUsage struct {
	cpuTime                                             time.Duration
	rssBytes                                            int64
	peerBytes, platformBytes, controlBytes, gossipBytes float64
}

func startFleet(ctx context.Context, o options) (*fleet, error) {
	f := &fleet{}
	spec, err := workload.Get(o.workload)
	if err != nil {
		return f, err
	}
	f.standin = exec.CommandContext(ctx, filepath.Join(o.binDir, "dotterelctl"), "standin",
		"--workload", o.workload, "--services", strconv.Itoa(o.services))
	f.standin.Stderr = os.Stdout
	out, err := f.standin.StdoutPipe()
	if err != nil {
		return f, err
	}
	if err := f.standin.Start(); err != nil {
		return f, err
	}
	platform, err := f.awaitPlatform(out)
	if err != nil {
		return f, err
	}
	for i := range o.hosts {
		h, err := startHost(ctx, o, i, spec.Zone(i), platform)
		if err != nil {
			return f, err
		}
		f.hosts = append(f.hosts, h)
	}
	return f, nil
}

// runMeasurement waits for the duration of the measurement, under load if any is
// configured.
func (f *fleet) runMeasurement(ctx context.Context, o options) (*workload.Report, error) {
	if o.loadSessions == 0 {
		time.Sleep(o.duration)
		return nil, nil
	}
	spec, err := workload.Get(o.workload)
	if err != nil {
		return nil, err
	}
	spec.Services = o.services
	var entries []workload.Entry
	for _, h := range f.hosts {
		entries = append(entries, workload.Entry{Address: h.listen})
	}
	return workload.Start(ctx, workload.Options{
		Spec: spec, Entries: entries, Callers: o.loadSessions, Duration: o.duration, Seed: 1, Upstreams: f.memberAddresses,
	}).Wait(ctx)
}

// awaitPlatform waits until the stand-ins are ready and returns the platform's
// address.
func (f *fleet) awaitPlatform(out io.Reader) (string, error) {
	platform := ""
	lines := bufio.NewScanner(out)
	for lines.Scan() {
		if value, found := strings.CutPrefix(lines.Text(), "DOTTERELSWITCH_PLATFORM="); found {
			platform = value
		}
		if value, found := strings.CutPrefix(lines.Text(), "--upstream "); found {
			f.memberAddresses = append(f.memberAddresses, value)
		}
		if lines.Text() == "ready" {
			return platform, nil
		}
	}
	return "", fmt.Errorf("stand-in process exited before it was ready")
}

// firstHostPort is the first port of the hosts, below the ephemeral range.
const firstHostPort = 20_000

func startHost(ctx context.Context, o options, index int, zone, platform string) (*hostProcess, error) {
	var addresses [3]string
	for i := range addresses {
		addresses[i] = fmt.Sprintf("127.0.0.1:%d", firstHostPort+len(addresses)*index+i)
	}
	h := &hostProcess{listen: addresses[0], metrics: addresses[2]}
	h.cmd = exec.CommandContext(ctx, filepath.Join(o.binDir, "dotterelswitch"),
		"--id", fmt.Sprintf("host-%d", index), "--zone", zone, "--listen", addresses[0], "--peer", addresses[1], "--metrics", addresses[2],
		"--platform", platform, "--peer-key", "bench", "--log-level", "error")
	h.cmd.Stderr = os.Stderr
	return h, h.cmd.Start()
}

// openIdleSessions opens idle sessions on the first host.
func (f *fleet) openIdleSessions(ctx context.Context, n int) error {
	if n == 0 {
		return nil
	}
	const warmUp = 5 * time.Second
	time.Sleep(warmUp)
	for i := range n {
		url := fmt.Sprintf("postgres://observers@%s/vsarchive-%d?sslmode=disable", f.hosts[0].listen, 1+i%3)
		c, err := pgconn.Connect(ctx, url)
		if err != nil {
			return err
		}
		f.idleSessions = append(f.idleSessions, c)
	}
	return nil
}

func (f *fleet) sample() ([]resourceUsage, error) {
	out := make([]resourceUsage, 0, len(f.hosts))
	for _, h := range f.hosts {
		r, err := h.sample()
		if err != nil {
			return nil, err
		}
		out = append(out, r)
	}
	return out, nil
}

// clockTick is the unit of processor time in /proc (1/USER_HZ).
const clockTick = 10 * time.Millisecond

// Zero-based indexes of fields after the command's name in /proc/PID/stat.
const (
	statFieldUser   = 11
	statFieldSystem = 12
	statFieldRSS    = 21
)

func (h *hostProcess) sample() (resourceUsage, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", h.cmd.Process.Pid))
	if err != nil {
		return resourceUsage{}, err
	}
	fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+1:]))
	user, _ := strconv.ParseInt(fields[statFieldUser], 10, 64)
	system, _ := strconv.ParseInt(fields[statFieldSystem], 10, 64)
	pages, _ := strconv.ParseInt(fields[statFieldRSS], 10, 64)
	r := resourceUsage{cpuTime: time.Duration(user+system) * clockTick, rssBytes: pages * int64(os.Getpagesize())}
	return r, h.scrape(&r)
}

func (h *hostProcess) scrape(r *resourceUsage) error {
	resp, err := http.Get("http://" + h.metrics + "/metrics")
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		name, value, _ := strings.Cut(lines.Text(), " ")
		v, _ := strconv.ParseFloat(value, 64)
		switch name {
		case "dotterelswitch_peer_bytes":
			r.peerBytes = v
		case "dotterelswitch_gossip_bytes":
			r.gossipBytes = v
		case "dotterelswitch_platform_bytes":
			r.platformBytes = v
		case "dotterelswitch_control_bytes":
			r.controlBytes = v
		}
	}
	return lines.Err()
}

// stop terminates all processes that were started.
func (f *fleet) stop() {
	for _, h := range f.hosts {
		_ = h.cmd.Process.Kill()
		_ = h.cmd.Wait()
	}
	if f.standin != nil && f.standin.Process != nil {
		_ = f.standin.Process.Signal(syscall.SIGTERM)
		_ = f.standin.Wait()
	}
}
