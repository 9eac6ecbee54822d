package consul_test

import (
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/node/consul"
	"github.com/dotterelswitch/dotterelswitch/standin/responseproxy"
)

// TestRepeatedAnswerIsNotThatOfAnotherCall guards against a host that believes to have changed
// a key, because the answer to its earlier call came twice on the connection.
func TestRepeatedAnswerIsNotThatOfAnotherCall(t *testing.T) {
	var calls atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		answer := "false"
		if calls.Add(1) == 1 {
			answer = "true"
		}
		_, _ = w.Write([]byte(answer))
	}))
	defer server.Close()
	proxy, err := responseproxy.New(strings.TrimPrefix(server.URL, "http://"), 1)
	require.NoError(t, err)
	defer proxy.Close()
	proxy.SetFault(responseproxy.Fault{Repeat: 1, AfterNextRequest: true})
	var dialer net.Dialer
	c := consul.NewClient(proxy.Address(), dialer.DialContext)
	swapped, err := c.CompareAndSwap(t.Context(), "k", []byte("x"), 1)
	require.NoError(t, err)
	require.True(t, swapped)
	swapped, err = c.CompareAndSwap(t.Context(), "k", []byte("x"), 1)
	require.NoError(t, err)
	require.False(t, swapped)
}
