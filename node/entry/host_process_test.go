package entry_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/node/entry"
	"github.com/dotterelswitch/dotterelswitch/node/onplatform"
)

// hostProcessEnv makes the test binary run as a host. Its value is the host's processSettings.
const hostProcessEnv = "DOTTERELSWITCH_TEST_HOST"

type processSettings struct {
	Platform string
	Entry    entry.Settings
}

func TestMain(m *testing.M) {
	if encoded := os.Getenv(hostProcessEnv); encoded != "" {
		if err := runHostProcess([]byte(encoded)); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

// runHostProcess runs a host until SIGTERM.
func runHostProcess(encoded []byte) error {
	var s processSettings
	if err := json.Unmarshal(encoded, &s); err != nil {
		return err
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM)
	a := onplatform.NewAdapter(onplatform.Options{Host: s.Entry.Host, StoreAddress: s.Platform, PromotionAddress: s.Platform, Timeout: time.Second})
	h, err := entry.Start(s.Entry, a, entry.Dial, zerolog.New(os.Stdout))
	if err != nil {
		return err
	}
	<-signals
	h.Stop()
	return nil
}

// hostProcess is a host in a process of its own, which can be killed and started again.
type hostProcess struct {
	d        *deployment
	settings entry.Settings
	cmd      *exec.Cmd
	// ended is closed when the process has ended.
	ended chan struct{}
}

// addHostProcess starts a host in a process and waits until it is ready.
func (d *deployment) addHostProcess() *hostProcess {
	d.t.Helper()
	p := &hostProcess{d: d, settings: d.newSettings(fmt.Sprintf("host-%d", len(d.settings)+1))}
	d.settings = append(d.settings, p.settings)
	p.start()
	d.t.Cleanup(p.kill)
	return p
}

// start starts the process and waits until the host is ready.
func (p *hostProcess) start() {
	p.d.t.Helper()
	encoded, err := json.Marshal(processSettings{Platform: p.d.platform.Address(), Entry: p.settings})
	require.NoError(p.d.t, err)
	p.cmd = exec.Command(os.Args[0])
	p.cmd.Env = append(os.Environ(), hostProcessEnv+"="+string(encoded))
	p.cmd.Stdout, p.cmd.Stderr = p.d.processLog(), os.Stderr
	require.NoError(p.d.t, p.cmd.Start())
	cmd, ended := p.cmd, make(chan struct{})
	p.ended = ended
	go func() {
		// The state of the process tells how it has ended.
		_ = cmd.Wait()
		close(ended)
	}()
	require.Eventually(p.d.t, p.ready, waitLimit, pollInterval)
}

// processLog returns the destination of the logs of hosts in processes.
func (d *deployment) processLog() io.Writer {
	if d.logWriter != nil {
		return d.logWriter
	}
	return os.Stderr
}

// running reports whether the process has not ended.
func (p *hostProcess) running() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

func (p *hostProcess) ready() bool {
	resp, err := http.Get("http://" + p.settings.ReadinessAddress + onplatform.NewAdapter(onplatform.Options{}).ReadinessPath)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// end sends a signal to the process and waits for its end.
func (p *hostProcess) end(s syscall.Signal) {
	// An error means that the process has ended already.
	_ = p.cmd.Process.Signal(s)
	<-p.ended
}

func (p *hostProcess) kill() { p.end(syscall.SIGKILL) }
