// Package loopback allocates loopback addresses for test processes.
package loopback

import (
	"errors"
	"net"
	"os"
	"strconv"
	"sync/atomic"
)

// Listener ports lie below the ephemeral port range, so that no outgoing
// connection takes a port between its choice and its use.
const (
	firstPort = 10_000
	portCount = 22_000
	// portStep spreads the first ports of processes with consecutive IDs.
	portStep = 131
)

var nextPort atomic.Int64

func init() { nextPort.Store(int64(os.Getpid()) * portStep) }

var errNoPort = errors.New("no free loopback port in the listener range")

// nextAddress iterates over the listener ports, wrapping around.
func nextAddress() string {
	port := firstPort + int(nextPort.Add(1)%portCount)
	return net.JoinHostPort("127.0.0.1", strconv.Itoa(port))
}

// FreeAddress returns a loopback address that is free for TCP and UDP. Calls in
// one process return distinct addresses.
func FreeAddress() (string, error) {
	for range portCount {
		if address := nextAddress(); isFree(address) {
			return address, nil
		}
	}
	return "", errNoPort
}

// Listen returns a listener on a free loopback address. No outgoing connection
// takes its port after it closes, so that the address can be reused.
func Listen() (net.Listener, error) {
	for range portCount {
		if l, err := net.Listen("tcp", nextAddress()); err == nil {
			return l, nil
		}
	}
	return nil, errNoPort
}

func isFree(address string) bool {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	defer func() { _ = l.Close() }()
	p, err := net.ListenPacket("udp", address)
	if err != nil {
		return false
	}
	return p.Close() == nil
}
