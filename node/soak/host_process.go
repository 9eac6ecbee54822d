package soak

import (
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/dotterelswitch/dotterelswitch/platform"
	"github.com/dotterelswitch/dotterelswitch/standin/faultproxy"
	"github.com/dotterelswitch/dotterelswitch/standin/lineplatform"
	"github.com/dotterelswitch/dotterelswitch/standin/loopback"
)

const (
	// stopGracePeriod is the time between SIGTERM and SIGKILL.
	stopGracePeriod = 6 * time.Second
	// restartDelay is the time between the exit of a process and its restart.
	restartDelay = 300 * time.Millisecond
	// The bounds that the platform guarantees to the hosts.
	drainTimeout       = 7 * time.Second
	maxConfigApplyTime = 3 * time.Second
)

// hostProcess runs one host and restarts it whenever it exits.
type hostProcess struct {
	name          string
	callerAddress string
	dir           string
	program       string
	// storeProxy forwards the host's connections to the platform.
	storeProxy *faultproxy.Proxy
	findings   *findings

	// mu guards the fields below.
	mu  sync.Mutex
	cmd *exec.Cmd
	// incarnation counts starts.
	incarnation int
	// exitExpected is set once a signal that ends the process has been sent.
	exitExpected bool
	// exited is closed when the current process has exited.
	exited chan struct{}
	// closed prevents further restarts.
	closed bool
}

// newHostProcess writes the settings file of a host; start launches it.
func newHostProcess(n int, program, dir string, p *lineplatform.Platform, f *findings) (*hostProcess, error) {
	storeProxy, err := faultproxy.New(p.Address())
	if err != nil {
		return nil, err
	}
	h := &hostProcess{name: fmt.Sprintf("host-%d", n+1), dir: dir, program: program, storeProxy: storeProxy, findings: f}
	boot := lineplatform.Boot{
		Host: h.name, Zone: zones[n%len(zones)], PlatformAddress: storeProxy.Address(),
		GracePeriod: stopGracePeriod, DrainTimeout: drainTimeout, MaxConfigApplyTime: maxConfigApplyTime,
		QuotaWindow: quotaWindow, QuotaOverage: quotaShare, QuotaSlack: quotaSlack,
	}
	var peer string
	for _, address := range []*string{&boot.CallerAddress, &boot.ReadyAddress, &peer} {
		if *address, err = loopback.FreeAddress(); err != nil {
			return nil, err
		}
	}
	host, port, err := net.SplitHostPort(peer)
	if err != nil {
		return nil, err
	}
	if boot.PeerPort, err = strconv.Atoi(port); err != nil {
		return nil, err
	}
	boot.IP, h.callerAddress = host, boot.CallerAddress
	return h, os.WriteFile(h.bootPath(), boot.Encode(), 0o600)
}

func (h *hostProcess) bootPath() string { return filepath.Join(h.dir, h.name+".json") }

// logPath returns the log file, to which all incarnations append.
func (h *hostProcess) logPath() string { return filepath.Join(h.dir, h.name+".log") }

func (h *hostProcess) start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return nil
	}
	log, err := os.OpenFile(h.logPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(h.program, "platform", "--metrics-port", "0")
	cmd.Env = append(os.Environ(), platform.BootEnvVar+"="+h.bootPath())
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	h.incarnation++
	h.cmd, h.exitExpected, h.exited = cmd, false, make(chan struct{})
	go h.supervise(cmd, h.exited)
	return nil
}

// supervise waits until a process exits and starts the next one.
func (h *hostProcess) supervise(cmd *exec.Cmd, exited chan struct{}) {
	err := cmd.Wait()
	h.mu.Lock()
	expected := h.exitExpected
	h.mu.Unlock()
	if !expected {
		h.findings.add("%s ended by itself: %v; its last log line: %s", h.name, err, h.lastLogLine())
	}
	close(exited)
	time.Sleep(restartDelay)
	if err := h.start(); err != nil {
		h.findings.add("%s did not start again: %v", h.name, err)
	}
}

// lastLogLine returns the last line of the log, or why there is none.
func (h *hostProcess) lastLogLine() string {
	log, err := os.ReadFile(h.logPath())
	if err != nil {
		return err.Error()
	}
	lines := strings.Split(strings.TrimSpace(string(log)), "\n")
	return lines[len(lines)-1]
}

// signal sends a signal to the current process and returns the channel that is
// closed when it has exited. expectExit marks the exit as intended.
func (h *hostProcess) signal(s syscall.Signal, expectExit bool) chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.exitExpected = h.exitExpected || expectExit
	if err := h.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		h.findings.add("%s: signal %s: %v", h.name, s, err)
	}
	return h.exited
}

// stop sends SIGTERM, and SIGKILL after the grace period, as the platform does.
func (h *hostProcess) stop() {
	exited := h.signal(syscall.SIGTERM, true)
	select {
	case <-exited:
	case <-time.After(stopGracePeriod):
		h.signal(syscall.SIGKILL, true)
	}
}

func (h *hostProcess) pause(d time.Duration) {
	h.signal(syscall.SIGSTOP, false)
	time.Sleep(d)
	h.signal(syscall.SIGCONT, false)
}

func (h *hostProcess) currentIncarnation() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.incarnation
}

// close kills the process and does not restart it.
func (h *hostProcess) close() {
	h.mu.Lock()
	h.closed = true
	h.mu.Unlock()
	exited := h.signal(syscall.SIGKILL, true)
	<-exited
	h.storeProxy.Close()
}
