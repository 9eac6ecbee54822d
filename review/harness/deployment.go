// Package harness starts a small deployment of the project's own program, with the command
// of the deploy file, on loopback addresses, and records what callers sent and were
// answered and what members ran.
package harness

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/gates"
	"github.com/dotterelswitch/dotterelswitch/standin/lineplatform"
)

// RestartDelay is the time until a process that has ended is started again.
const RestartDelay = 300 * time.Millisecond

// GracePeriod is grace_s, and TxIdle tx_idle_ms of the configuration, of both sites.
const (
	GracePeriod = 6 * time.Second
	TxIdle      = 3 * time.Second
)

// cpuShare is the share of a core that a host has.
const cpuShare = 0.4

// Deployment is a running platform with its groups and hosts.
type Deployment struct {
	Record   *Record
	Platform *lineplatform.Platform
	Groups   []*lineplatform.Group
	Hosts    []*Host
	site     Site
	dir      string
	closing  sync.Once
}

// Host is one host, as a process of its own.
type Host struct {
	Name, Zone string
	// Address is where callers connect.
	Address string

	ip, bootPath, logPath, readyURL string
	peerPort, metricsPort           int
	record                          *Record

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

// Start starts a platform with the groups of a site, and its hosts. A statement holds a slot
// of a member for workTime.
func Start(record *Record, site Site, workTime time.Duration, configure func(*Deployment)) (*Deployment, error) {
	dir, err := os.MkdirTemp("", "dotterelswitch-review-")
	if err != nil {
		return nil, err
	}
	d := &Deployment{Record: record, site: site, dir: dir}
	d.closeOnSignal()
	if d.Platform, err = lineplatform.Start(); err != nil {
		return d, err
	}
	for n := range Groups {
		g, err := d.Platform.AddGroup(Service(n), lineplatform.Options{
			Members: 3, Slots: site.slots, MaxConnections: site.connections, ServiceTime: workTime,
			ReplicationLag: replicationLag, PromotionTime: site.promotionTime, Zones: site.memberZones,
		})
		if err != nil {
			return d, err
		}
		d.Groups = append(d.Groups, g)
	}
	configure(d)
	ports, err := freePorts(4)
	if err != nil {
		return d, err
	}
	for n, zone := range site.hostZones {
		h, err := d.newHost(n, zone, ports)
		if err != nil {
			return d, err
		}
		d.Hosts = append(d.Hosts, h)
	}
	for _, h := range d.Hosts {
		if err := h.Start(); err != nil {
			return d, err
		}
	}
	return d, nil
}

// Configure writes a configuration with one route of a type for each group, with the
// figures of the sheet.
func (d *Deployment) Configure(consistency string, statementTimeout, targetLatency, maxStaleness time.Duration) {
	var routes []lineplatform.Route
	for n := range d.Groups {
		routes = append(routes, lineplatform.Route{
			Database: Database(n), Service: Service(n), Consistency: consistency,
			StatementTimeout: statementTimeout, TargetLatency: targetLatency, MaxStaleness: maxStaleness, Priority: 1,
		})
	}
	d.Platform.Configure(routes, TxIdle)
}

// Database returns the name of a group's database.
func Database(group int) string { return fmt.Sprintf("database%d", group) }

// Service returns the name of a group's service.
func Service(group int) string { return fmt.Sprintf("service%d", group) }

// freePorts returns ports that are free on all loopback addresses of the hosts.
func freePorts(n int) ([]int, error) {
	var out []int
	for len(out) < n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		out = append(out, l.Addr().(*net.TCPAddr).Port)
		defer func() { _ = l.Close() }()
	}
	return out, nil
}

func (d *Deployment) newHost(n int, zone string, ports []int) (*Host, error) {
	name := fmt.Sprintf("front-%s-%d", zone, n+1)
	ip := fmt.Sprintf("127.0.0.%d", 20+n)
	address := func(i int) string { return net.JoinHostPort(ip, strconv.Itoa(ports[i])) }
	h := &Host{
		Name: name, Zone: zone, Address: address(0), ip: ip, peerPort: ports[2], metricsPort: ports[3], record: d.Record,
		bootPath: filepath.Join(d.dir, name+".json"), logPath: filepath.Join(d.dir, name+".log"),
		readyURL: "http://" + address(1) + "/dotterelswitch/ready",
	}
	boot := map[string]any{
		"node_name": name, "role": "proxy", "machine_class": "front", "serves": []string{"front"},
		"ip": ip, "zone": zone, "region": d.site.regions[zone], "zones": d.site.regions,
		"listen":         map[string]string{"front": address(0), "ready": address(1)},
		"internal_ports": []int{ports[2], ports[2] + 15}, "seeds": []string{}, "bootstrap": true, "fault_counted": true,
		"limits":   map[string]any{"cpu_share": cpuShare, "cpu_cores": 1, "memory_mb": 284, "max_fds": d.site.maxFDs, "link_mbps": 1000.0, "disk_mb": 0},
		"data_dir": nil, "discovery": "platform", "entrypoint": "vip", "heartbeat_ms": 1200,
		"policies": []string{"base", "drain", "config", "cost", "recover", "sql", "platform"},
		"bounds": map[string]any{
			"seed_lag_s": 3, "addr_reuse_s": 2, "contact_ms": d.site.contactMS, "ack_ms": d.site.ackMS, "catchup_s": 4, "drain_ms": 7000, "grace_s": GracePeriod.Seconds(),
			"loss_slack_ms": 200, "config_apply_ms": d.site.configApplyMS, "back_ms": 250, "max_stretch_ms": d.site.maxStretchMS, "recovery_s": 12, "require_fencing": true, "thaw_ms": 300,
		},
		"platform":  map[string]any{"address": d.Platform.Address(), "form": "kv", "writes_per_s": 400, "reads_per_s": 2000, "retention_s": 20, "max_value_bytes": 1048576, "min_ttl_ms": 1000},
		"cloud_api": map[string]any{"address": d.Platform.Address(), "rate_per_s": 50.0, "duties": []string{"promotion"}, "duty_per_s": 50.0},
	}
	data, err := json.MarshalIndent(boot, "", "  ")
	if err != nil {
		return nil, err
	}
	return h, os.WriteFile(h.bootPath, data, 0o600)
}

// Start starts the host's process with the command of the deploy file. The current folder
// is the project's root.
func (h *Host) Start() error {
	log, err := os.OpenFile(h.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command("target/dotterelswitch", "platform")
	cmd.Env = []string{
		"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "DOTTERELSWITCH_BOOT=" + h.bootPath,
		// Several hosts share this machine, so 9464 may be taken.
		"DOTTERELSWITCH_METRICS_PORT=" + strconv.Itoa(h.metricsPort),
	}
	cmd.Stdout, cmd.Stderr = log, log
	h.mu.Lock()
	defer h.mu.Unlock()
	if err := cmd.Start(); err != nil {
		return err
	}
	h.cmd, h.exited = cmd, make(chan struct{})
	h.record.Add("start %s process %d", h.Name, cmd.Process.Pid)
	go func(exited chan struct{}) {
		err := cmd.Wait()
		h.record.Add("end %s: %v", h.Name, err)
		close(exited)
	}(h.exited)
	return nil
}

// Signal sends a signal to the host's process.
func (h *Host) Signal(s syscall.Signal) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.record.Add("signal %s: %s", h.Name, s)
	return h.cmd.Process.Signal(s)
}

// Kill kills the process and waits for its end.
func (h *Host) Kill() error {
	h.mu.Lock()
	exited := h.exited
	h.mu.Unlock()
	err := h.Signal(syscall.SIGKILL)
	<-exited
	return err
}

// Exited returns a channel that is closed when the current process has ended.
func (h *Host) Exited() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.exited
}

// LogPath returns the path of the file with the host's output.
func (h *Host) LogPath() string { return h.logPath }

// MetricsURL returns the address of the host's metrics.
func (h *Host) MetricsURL() string {
	return "http://" + net.JoinHostPort(h.ip, strconv.Itoa(h.metricsPort)) + "/metrics"
}

// Ready reports whether the host answers the platform's readiness probe with 200.
func (h *Host) Ready() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get(h.readyURL)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// AwaitReady waits until the host is ready.
func (h *Host) AwaitReady(timeout time.Duration) error {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if h.Ready() {
			return nil
		}
	}
	return errors.New(h.Name + " is not ready in time")
}

// AwaitReady waits until all hosts are ready.
func (d *Deployment) AwaitReady(timeout time.Duration) error {
	for _, h := range d.Hosts {
		if err := h.AwaitReady(timeout); err != nil {
			return err
		}
	}
	return nil
}

// GateHosts returns the hosts that keep the connections to the primary of a group, by the
// plan that all hosts compute.
func (d *Deployment) GateHosts(group int) []*Host {
	var fleet []gates.Host
	for _, h := range d.Hosts {
		fleet = append(fleet, gates.Host{Name: h.Name, Zone: h.Zone, Address: net.JoinHostPort(h.ip, strconv.Itoa(h.peerPort)), MilliCores: int(1000 * cpuShare), LinkMbps: 1000})
	}
	// The stand-in's first member is the primary, in the first zone. Hosts keep one connection
	// for their own use.
	member := gates.Member{ID: d.Groups[group].Primary().ID, Zone: d.site.memberZones[0], Slots: d.site.slots}
	share := gates.NewPlan(gates.NewFleet(fleet, d.site.regions), d.site.connections-1).For(member, "")
	var out []*Host
	for _, gate := range share.GateHosts {
		for _, h := range d.Hosts {
			if h.Name == gate.Name {
				out = append(out, h)
			}
		}
	}
	return out
}

// timeLimit is the time after which a case is ended as one that could not run.
const timeLimit = 110 * time.Second

// closeOnSignal ends all processes if this program is told to end, or runs for too long.
func (d *Deployment) closeOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-signals:
		case <-time.After(timeLimit):
		}
		d.Close()
		os.Exit(ExitNotRun)
	}()
}

// Close ends all processes and removes their files. With KEEP set in the environment the
// files stay.
func (d *Deployment) Close() { d.closing.Do(d.close) }

func (d *Deployment) close() {
	for _, h := range d.Hosts {
		h.mu.Lock()
		cmd, exited := h.cmd, h.exited
		h.mu.Unlock()
		if cmd == nil {
			continue
		}
		_ = cmd.Process.Kill()
		<-exited
	}
	if d.Platform != nil {
		d.Platform.Close()
	}
	if os.Getenv("KEEP") != "" {
		fmt.Println("kept", d.dir)
		return
	}
	_ = os.RemoveAll(d.dir)
}
