package entry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// An open connection can go silent for good. Keep-alive probes find that on
// one that waits, the user timeout on one that sends.
const (
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// userTimeout bounds how long sent bytes may go without acknowledgement.
	userTimeout = 2500 * time.Millisecond
	// dialTimeout bounds a connection.
	dialTimeout = time.Second
)

// Dial opens a connection that notices when its peer is gone.
func Dial(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: setUserTimeout,
	}
	return d.DialContext(ctx, network, address)
}

func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var inner error
	err := c.Control(func(fd uintptr) {
		inner = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	return errors.Join(err, inner)
}

// maxIdlePerServer bounds idle connections to the platform: one for the watch
// and a few for other calls.
const maxIdleConnsPerHost = 4

// HTTPClient returns a client for calls to the platform over Dial.
func HTTPClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext: Dial, MaxIdleConnsPerHost: maxIdleConnsPerHost, DisableCompression: true,
	}}
}
