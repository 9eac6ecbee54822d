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

// Keep-alive probes detect a dead peer on an idle connection; the TCP user timeout
// detects one while data is unacknowledged.
const (
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// userTimeout bounds how long sent data may stay unacknowledged.
	userTimeout = 2500 * time.Millisecond
	// dialTimeout bounds connection establishment.
	dialTimeout = time.Second
)

// Dial opens a TCP connection that detects a dead peer.
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
	var sockErr error
	err := c.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	return errors.Join(err, sockErr)
}

// maxIdleConnsPerHost bounds idle connections to the platform: one for the watch
// and a few for other calls.
const maxIdleConnsPerHost = 4

// HTTPClient returns a client for calls to the platform. It connects with Dial.
func HTTPClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext: Dial, MaxIdleConnsPerHost: maxIdleConnsPerHost, DisableCompression: true,
	}}
}
