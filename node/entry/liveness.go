package entry

import (
	"context"
	"time"

	"golang.org/x/sync/singleflight"

	"github.com/dotterelswitch/dotterelswitch/node/gossip"
	"github.com/dotterelswitch/dotterelswitch/node/peer"
)

const (
	// livenessTimeout bounds the wait for one answer. It covers the longest round
	// trip between regions and the response time of a busy host.
	livenessTimeout = 100 * time.Millisecond
	// livenessAttempts is more than one because datagrams can be lost.
	livenessAttempts = 2
)

// remote runs jobs on other hosts. It implements replicaset.Remote.
type remote struct {
	*peer.GateClient
	// ctx is the host's context: probes are shared and outlive a single caller.
	ctx       context.Context
	datagrams *gossip.Transport
	traffic   *trafficCounts
	// livenessProbes deduplicates concurrent probes by address.
	livenessProbes *singleflight.Group
}

// remote returns the host's replicaset.Remote.
func (h *Host) remote() remote {
	return remote{GateClient: h.gates, ctx: h.ctx, datagrams: h.peers, traffic: h.traffic, livenessProbes: &h.livenessProbes}
}

// Alive implements replicaset.Remote. Concurrent calls for one address share a
// probe, so that in a partition or overload the statements that wait for a host do
// not flood it.
func (r remote) Alive(_ context.Context, address string) bool {
	alive, _, _ := r.livenessProbes.Do(address, func() (any, error) { return r.probe(address), nil })
	return alive == true
}

func (r remote) probe(address string) bool {
	for range livenessAttempts {
		if r.probeOnce(address) {
			return true
		}
	}
	return false
}

func (r remote) probeOnce(address string) bool {
	ctx, cancel := context.WithTimeout(r.ctx, livenessTimeout)
	defer cancel()
	r.traffic.add(trafficLiveness)
	_, err := r.datagrams.Probe(ctx, address, gossip.Message{})
	return err == nil
}
