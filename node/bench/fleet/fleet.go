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

// fleet is a running stand-in process and its hosts.
type fleet struct {
	standin *exec.Cmd
	hosts   []*hostProcess
	conns   []*pgconn.PgConn
	// upstreams are the addresses of the members.
	upstreams []string
}

// hostProcess is one host.
type hostProcess struct {
	cmd             *exec.Cmd
	listen, metrics string
}

// reading is what one host has used so far.
type reading struct {
	cpu                              time.Duration
	rss                              int64
	peers, platform, control, gossip float64
}

func startFleet(ctx context.Context, o options) (*fleet, error) {
	f := &fleet{}
	spec, err := workload.Get(o.workload)
	if err != nil {
		return f, err
	}
	f.standin = exec.CommandContext(ctx, filepath.Join(o.bin, "dotterelctl"), "standin",
		"--workload", o.workload, "--services", strconv.Itoa(o.services))
	f.standin.Stderr = os.Stdout
	out, err := f.standin.StdoutPipe()
	if err != nil {
		return f, err
	}
	if err := f.standin.Start(); err != nil {
		return f, err
	}
	platform, err := f.readPlatform(out)
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

// spend lets the span of the measurement pass, under load if asked for.
func (f *fleet) spend(ctx context.Context, o options) (*workload.Report, error) {
	if o.load == 0 {
		time.Sleep(o.span)
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
		Spec: spec, Entries: entries, Callers: o.load, Duration: o.span, Seed: 1, Upstreams: f.upstreams,
	}).Wait(ctx)
}

// readPlatform waits until the stand-ins are ready.
func (f *fleet) readPlatform(out io.Reader) (string, error) {
	platform := ""
	lines := bufio.NewScanner(out)
	for lines.Scan() {
		if value, found := strings.CutPrefix(lines.Text(), "DOTTERELSWITCH_PLATFORM="); found {
			platform = value
		}
		if value, found := strings.CutPrefix(lines.Text(), "--upstream "); found {
			f.upstreams = append(f.upstreams, value)
		}
		if lines.Text() == "ready" {
			return platform, nil
		}
	}
	return "", fmt.Errorf("the stand-ins ended early")
}

// firstPort begins the hosts' ports, below those that the system gives out.
const firstPort = 20_000

func startHost(ctx context.Context, o options, index int, zone, platform string) (*hostProcess, error) {
	var addresses [3]string
	for i := range addresses {
		addresses[i] = fmt.Sprintf("127.0.0.1:%d", firstPort+len(addresses)*index+i)
	}
	h := &hostProcess{listen: addresses[0], metrics: addresses[2]}
	h.cmd = exec.CommandContext(ctx, filepath.Join(o.bin, "dotterelswitch"),
		"--id", fmt.Sprintf("host-%d", index), "--zone", zone, "--listen", addresses[0], "--peer", addresses[1], "--metrics", addresses[2],
		"--platform", platform, "--peer-key", "bench", "--log-level", "error")
	h.cmd.Stderr = os.Stderr
	return h, h.cmd.Start()
}

// addCallers opens idle sessions on the first host.
func (f *fleet) addCallers(ctx context.Context, n int) error {
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
		f.conns = append(f.conns, c)
	}
	return nil
}

func (f *fleet) sample() ([]reading, error) {
	out := make([]reading, 0, len(f.hosts))
	for _, h := range f.hosts {
		r, err := h.sample()
		if err != nil {
			return nil, err
		}
		out = append(out, r)
	}
	return out, nil
}

// clockTick is the unit of processor time in /proc, USER_HZ.
const clockTick = 10 * time.Millisecond

// Fields of /proc/PID/stat after the command's name, from zero.
const (
	statUser   = 11
	statSystem = 12
	statRSS    = 21
)

func (h *hostProcess) sample() (reading, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", h.cmd.Process.Pid))
	if err != nil {
		return reading{}, err
	}
	fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+1:]))
	user, _ := strconv.ParseInt(fields[statUser], 10, 64)
	system, _ := strconv.ParseInt(fields[statSystem], 10, 64)
	pages, _ := strconv.ParseInt(fields[statRSS], 10, 64)
	r := reading{cpu: time.Duration(user+system) * clockTick, rss: pages * int64(os.Getpagesize())}
	return r, h.scrape(&r)
}

func (h *hostProcess) scrape(r *reading) error {
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
			r.peers = v
		case "dotterelswitch_gossip_bytes":
			r.gossip = v
		case "dotterelswitch_platform_bytes":
			r.platform = v
		case "dotterelswitch_control_bytes":
			r.control = v
		}
	}
	return lines.Err()
}

// stop ends every process that was started.
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
