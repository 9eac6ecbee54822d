package entry

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/standin/loopback"
)

// TestShutdownCompletesRunningResponse guards against the loss of a response that is
// being written during shutdown, which would leave a commit in doubt.
func TestShutdownCompletesRunningResponse(t *testing.T) {
	address, err := loopback.FreeAddress()
	require.NoError(t, err)
	h := &Host{failed: make(chan error, 1)}
	h.ctx, h.cancel = context.WithCancel(context.Background())
	entered := make(chan struct{})
	require.NoError(t, h.serve(address, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(entered)
		time.Sleep(closeTimeout / 6)
		_, _ = io.WriteString(w, "committed")
	})))
	got := make(chan string, 1)
	go func() {
		res, err := http.Get("http://" + address)
		if err != nil {
			got <- err.Error()
			return
		}
		body, _ := io.ReadAll(res.Body)
		got <- string(body)
	}()
	<-entered
	h.cancel()
	h.shutDownServers()
	for _, s := range h.servers {
		_ = s.Close()
	}
	require.Equal(t, "committed", <-got)
}

// TestStreamsEndOnShutdown guards against a shutdown that blocks on the streams of
// other hosts.
func TestStreamsEndOnShutdown(t *testing.T) {
	address, err := loopback.FreeAddress()
	require.NoError(t, err)
	h := &Host{failed: make(chan error, 1)}
	h.ctx, h.cancel = context.WithCancel(context.Background())
	entered, ended := make(chan struct{}), make(chan struct{})
	require.NoError(t, h.serve(address, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		close(entered)
		<-r.Context().Done()
		close(ended)
	})))
	go func() {
		if res, err := http.Get("http://" + address); err == nil {
			_ = res.Body.Close()
		}
	}()
	<-entered
	h.cancel()
	<-ended
	h.shutDownServers()
}
