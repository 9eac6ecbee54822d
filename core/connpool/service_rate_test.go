package connpool_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/connpool"
)

// TestServiceRateOfCrowd guards against a rate from the hold times of the light load before a
// crowd: 27 connections held for 12 ms each gave 2,250 for a member that runs 333.
func TestServiceRateOfCrowd(t *testing.T) {
	const slots, connections = 4, 27
	p := connpool.New(connpool.Limits{MaxOpen: connections, FairShare: connections, MaxWaiting: 100})
	openInUse(t, p, connections)
	for id := range connections {
		p.Released(connpool.Conn{ID: connpool.ConnID(id + 1)}, 12*ms, 0)
	}
	require.InDelta(t, 333, p.ServiceRate(slots), 170)
	now := time.Second
	for id := range uint64(connections + 20) {
		p.Acquire(waiter(id+100, 1, time.Minute, time.Minute), now)
	}
	for id := range 10 {
		now += 3 * ms
		p.Released(connpool.Conn{ID: connpool.ConnID(id + 1)}, 12*ms, now)
	}
	require.InDelta(t, 333, p.ServiceRate(slots), 10)
}

// TestServiceRateLeavesOutPauses guards against a rate that counts the time in which a
// connection was free: each pause of a second between two bursts gave a rate of about one.
func TestServiceRateLeavesOutPauses(t *testing.T) {
	const slots, connections = 4, 4
	p := connpool.New(connpool.Limits{MaxOpen: connections, FairShare: connections, MaxWaiting: 100})
	openInUse(t, p, connections)
	now := time.Duration(0)
	for id := range uint64(20) {
		p.Released(connpool.Conn{ID: 1}, 12*ms, now)
		now += time.Second
		p.Acquire(waiter(id+100, 1, time.Minute, time.Minute), now)
	}
	require.Greater(t, p.ServiceRate(slots), 100.0)
}
