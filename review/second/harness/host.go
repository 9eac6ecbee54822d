package harness

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// internalPorts is the number of ports for traffic between hosts.
const internalPorts = 16

// HostOptions describe one host.
type HostOptions struct {
	Site               Site
	Name, Zone, Region string
	// Zones maps all zones to their regions.
	Zones map[string]string
	// StoreAddress and PromotionAddress are those of the platform.
	StoreAddress, PromotionAddress string
	// IP is a loopback address that no other host of this machine uses.
	IP string
	// Dir is where the settings and the log are written.
	Dir string
	// Program is the path of the project's program.
	Program string
}

// Host is one host of the deployment, run as a process.
type Host struct {
	Name          string
	CallerAddress string
	ReadyAddress  string
	PeerAddress   string
	opts          HostOptions
	record        *Record

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

// NewHost writes the settings of a host. Start starts it.
func NewHost(o HostOptions, record *Record) (*Host, error) {
	ports, err := freePorts(o.IP, 3)
	if err != nil {
		return nil, err
	}
	address := func(i int) string { return net.JoinHostPort(o.IP, strconv.Itoa(ports[i])) }
	h := &Host{Name: o.Name, CallerAddress: address(0), ReadyAddress: address(1), PeerAddress: address(2), opts: o, record: record}
	settings := map[string]any{
		"node_name": o.Name, "role": "proxy", "machine_class": "front", "serves": []string{"front"},
		"ip": o.IP, "zone": o.Zone, "region": o.Region, "zones": o.Zones,
		"listen":         map[string]string{"front": h.CallerAddress, "ready": h.ReadyAddress},
		"internal_ports": []int{ports[2], ports[2] + internalPorts - 1}, "seeds": []string{}, "bootstrap": true, "fault_counted": false,
		"limits":   map[string]any{"cpu_share": 0.4, "cpu_cores": 1, "memory_mb": 284, "max_fds": 4200, "link_mbps": 1000.0, "disk_mb": 0},
		"data_dir": nil, "discovery": "platform", "entrypoint": "vip", "heartbeat_ms": 1200,
		"policies":        []string{"base", "drain", "config", "cost", "recover", "sql", "platform"},
		"fault_tolerance": map[string]int{"machines": 1, "zones": 0, "regions": 0},
		"bounds": map[string]any{
			"seed_lag_s": 3, "addr_reuse_s": 2, "contact_ms": o.Site.Contact.Milliseconds(), "ack_ms": o.Site.Ack.Milliseconds(), "catchup_s": 4,
			"drain_ms": o.Site.Drain.Milliseconds(), "grace_s": o.Site.Grace.Seconds(), "loss_slack_ms": 200, "config_apply_ms": o.Site.ConfigApply.Milliseconds(),
			"back_ms": 250, "max_stretch_ms": o.Site.MaxStretch.Milliseconds(), "recovery_s": 12, "require_fencing": true, "thaw_ms": 300,
		},
		"platform":  map[string]any{"address": o.StoreAddress, "form": "kv", "writes_per_s": 400, "reads_per_s": 2000, "retention_s": 20, "max_value_bytes": 1 << 20, "min_ttl_ms": 1000},
		"cloud_api": map[string]any{"address": o.PromotionAddress, "rate_per_s": 50.0, "duties": []string{"promotion"}, "duty_per_s": 50.0},
	}
	data, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return nil, err
	}
	return h, os.WriteFile(h.settingsPath(), data, 0o600)
}

// freePorts returns ports that are free at a loopback address.
func freePorts(ip string, n int) ([]int, error) {
	var ports []int
	for range n {
		l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
		if err != nil {
			return nil, err
		}
		defer func() { _ = l.Close() }()
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

func (h *Host) settingsPath() string { return filepath.Join(h.opts.Dir, h.Name+".json") }

// Start starts the process with the command of the deploy file.
func (h *Host) Start() error {
	log, err := os.OpenFile(filepath.Join(h.opts.Dir, h.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(h.opts.Program, "platform")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "DOTTERELSWITCH_BOOT=" + h.settingsPath()}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	h.mu.Lock()
	h.cmd, h.exited = cmd, exited
	h.mu.Unlock()
	h.record.Add("%s started, pid %d, callers at %s", h.Name, cmd.Process.Pid, h.CallerAddress)
	go func() {
		err := cmd.Wait()
		h.record.Add("%s ended: %v", h.Name, err)
		close(exited)
	}()
	return nil
}

// Signal sends a signal to the process.
func (h *Host) Signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.record.Add("%s gets %s", h.Name, s)
	_ = h.cmd.Process.Signal(s)
}

// Kill kills the process and waits for its end.
func (h *Host) Kill() {
	h.mu.Lock()
	cmd, exited := h.cmd, h.exited
	h.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill()
	<-exited
}

// Running reports whether the process runs.
func (h *Host) Running() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd == nil {
		return false
	}
	select {
	case <-h.exited:
		return false
	default:
		return true
	}
}

// Ready reports whether the host answers the readiness probe with 200.
func (h *Host) Ready() bool {
	client := http.Client{Timeout: 500 * time.Millisecond}
	resp, err := client.Get("http://" + h.ReadyAddress + "/dotterelswitch/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// AwaitReady waits until all hosts are ready.
func AwaitReady(hosts []*Host, timeout time.Duration) error {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, h := range hosts {
			if h.Ready() {
				ready++
			}
		}
		if ready == len(hosts) {
			return nil
		}
	}
	return errors.New("the hosts did not get ready")
}

// IP returns the loopback address of the n-th host of a run. Runs side by side use
// different ones.
func IP(n int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+pid>>8&63, pid&255, 10+n)
}
