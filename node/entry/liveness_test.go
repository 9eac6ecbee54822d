package entry

import (
	"net"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/singleflight"

	"github.com/dotterelswitch/dotterelswitch/node/gossip"
)

// TestConcurrentLivenessChecksShareProbes guards against one probe per waiting
// statement when a gate stops answering.
func TestConcurrentLivenessChecksShareProbes(t *testing.T) {
	local, err := net.ListenPacket("udp", "127.0.0.1:0")
	require.NoError(t, err)
	silent, err := net.ListenPacket("udp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = silent.Close() }()
	datagrams := gossip.NewTransport(local, datagramKey, func(m gossip.Message) gossip.Message { return m })
	defer datagrams.Close()
	r := remote{ctx: t.Context(), datagrams: datagrams, traffic: newTrafficCounts(), livenessProbes: &singleflight.Group{}}
	const statements = 100
	var waiting sync.WaitGroup
	for range statements {
		waiting.Go(func() {
			if r.Alive(t.Context(), silent.LocalAddr().String()) {
				t.Error("a silent host is reported as alive")
			}
		})
	}
	waiting.Wait()
	require.Less(t, r.traffic.take()[trafficLiveness], statements/2)
}
