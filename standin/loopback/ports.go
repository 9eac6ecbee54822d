// Package loopback hands out addresses for processes of one machine.
package loopback

import (
	"errors"
	"net"
	"os"
	"strconv"
	"sync/atomic"
)

// Ports for listeners lie below those that the system gives to outgoing
// connections, so that none is taken between its choice and its use.
const (
	firstPort = 10_000
	portCount = 22_000
	// portStep keeps processes that start together apart.
	portStep = 131
)

var nextPort atomic.Int64

func init() { nextPort.Store(int64(os.Getpid()) * portStep) }

var errNoPort = errors.New("no port is free")

// nextAddress returns another address on each call, until all had their turn.
func nextAddress() string {
	port := firstPort + int(nextPort.Add(1)%portCount)
	return net.JoinHostPort("127.0.0.1", strconv.Itoa(port))
}

// FreeAddress returns a loopback address that is free for TCP and UDP. Each
// call in a process returns another one.
func FreeAddress() (string, error) {
	for range portCount {
		if address := nextAddress(); free(address) {
			return address, nil
		}
	}
	return "", errNoPort
}

// Listen returns a listener at a free loopback address. The address stays free
// of outgoing connections when it is closed, so that it can be listened at
// again.
func Listen() (net.Listener, error) {
	for range portCount {
		if l, err := net.Listen("tcp", nextAddress()); err == nil {
			return l, nil
		}
	}
	return nil, errNoPort
}

func free(address string) bool {
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
