package soak

import (
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/dotterelswitch/dotterelswitch/platform"
	"github.com/dotterelswitch/dotterelswitch/standin/faultproxy"
	"github.com/dotterelswitch/dotterelswitch/standin/lineplatform"
	"github.com/dotterelswitch/dotterelswitch/standin/loopback"
)

const (
	// grace is the time from the signal to stop until a process is killed.
	grace = 6 * time.Second
	// downTime is how long a process stays away before it starts again.
	downTime = 300 * time.Millisecond
	// drainBound and configBound are the platform's bounds.
	drainBound  = 7 * time.Second
	configBound = 3 * time.Second
)

// process is one host: a program that is started again whenever it ends.
type process struct {
	name    string
	caller  string
	dir     string
	program string
	// store is the way to the platform.
	store *faultproxy.Proxy
	found *findings

	// mu guards the fields below.
	mu  sync.Mutex
	cmd *exec.Cmd
	// incarnation counts starts.
	incarnation int
	// asked is set once the process was told to end, in whatever way.
	asked bool
	// ended is closed when the present process has ended.
	ended chan struct{}
	over  bool
}

// newProcess prepares a host; start runs it.
func newProcess(n int, program, dir string, p *lineplatform.Platform, f *findings) (*process, error) {
	store, err := faultproxy.New(p.Address())
	if err != nil {
		return nil, err
	}
	h := &process{name: fmt.Sprintf("host-%d", n+1), dir: dir, program: program, store: store, found: f}
	boot := lineplatform.Boot{
		Host: h.name, Zone: zones[n%len(zones)], PlatformAddress: store.Address(),
		GracePeriod: grace, DrainTimeout: drainBound, MaxConfigApplyTime: configBound,
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
	boot.IP, h.caller = host, boot.CallerAddress
	return h, os.WriteFile(h.bootPath(), boot.Encode(), 0o600)
}

func (h *process) bootPath() string { return filepath.Join(h.dir, h.name+".json") }

// logPath is where the process writes; all its incarnations append.
func (h *process) logPath() string { return filepath.Join(h.dir, h.name+".log") }

func (h *process) start() error {
	log, err := os.OpenFile(h.logPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(h.program, "platform", "--metrics-port", "0")
	cmd.Env = append(os.Environ(), platform.BootEnvVar+"="+h.bootPath())
	cmd.Stdout, cmd.Stderr = log, log
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.over {
		return nil
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	h.incarnation++
	h.cmd, h.asked, h.ended = cmd, false, make(chan struct{})
	go h.attend(cmd, h.ended)
	return nil
}

// attend waits for the end of a process and starts the next.
func (h *process) attend(cmd *exec.Cmd, ended chan struct{}) {
	err := cmd.Wait()
	h.mu.Lock()
	asked := h.asked
	h.mu.Unlock()
	if !asked {
		h.found.add("%s ended by itself: %v", h.name, err)
	}
	close(ended)
	time.Sleep(downTime)
	if err := h.start(); err != nil {
		h.found.add("%s did not start again: %v", h.name, err)
	}
}

// signal sends a signal to the present process. Ends tells that the process is
// to end by it.
func (h *process) signal(s syscall.Signal, ends bool) chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.asked = h.asked || ends
	if err := h.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		h.found.add("%s: signal %s: %v", h.name, s, err)
	}
	return h.ended
}

// stop ends the process as the platform does.
func (h *process) stop() {
	ended := h.signal(syscall.SIGTERM, true)
	select {
	case <-ended:
	case <-time.After(grace):
		h.signal(syscall.SIGKILL, true)
	}
}

func (h *process) pause(d time.Duration) {
	h.signal(syscall.SIGSTOP, false)
	time.Sleep(d)
	h.signal(syscall.SIGCONT, false)
}

// running returns the number of the present incarnation.
func (h *process) running() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.incarnation
}

// end ends the process for good.
func (h *process) end() {
	h.mu.Lock()
	h.over = true
	h.mu.Unlock()
	ended := h.signal(syscall.SIGKILL, true)
	<-ended
	h.store.Close()
}
