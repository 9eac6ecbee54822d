package entry

import (
	"context"
	"time"

	"golang.org/x/sync/singleflight"

	"github.com/dotterelswitch/dotterelswitch/node/gossip"
	"github.com/dotterelswitch/dotterelswitch/node/peer"
)

const (
	// aliveTime bounds the wait for one sign of life: a round trip between the regions
	// that are furthest apart, 40 ms, and a busy host's turn.
	aliveTime = 100 * time.Millisecond
	// aliveTries is how often it is asked for, because datagrams get lost.
	aliveTries = 2
)

// remote runs jobs on other hosts. It implements replicaset.Remote.
type remote struct {
	*peer.GateClient
	// ctx bounds what goes on when a caller has left.
	ctx       context.Context
	datagrams *gossip.Transport
	talk      *talkCounts
	// looks are the questions for a sign of life that are under way, by address.
	looks *singleflight.Group
}

// remote returns the way to other hosts.
func (h *Host) remote() remote {
	return remote{GateClient: h.gates, ctx: h.ctx, datagrams: h.peers, talk: h.talk, looks: &h.looks}
}

// Alive implements replicaset.Remote. Load pattern: the fleet is cut in two, or
// members are overloaded, and all statements that wait on a host for longer than
// usual ask whether it lives: 4,000 datagrams a second from 295 hosts. Those that
// ask at the same time share one question.
func (r remote) Alive(_ context.Context, address string) bool {
	alive, _, _ := r.looks.Do(address, func() (any, error) { return r.look(address), nil })
	return alive == true
}

func (r remote) look(address string) bool {
	for range aliveTries {
		if r.answers(address) {
			return true
		}
	}
	return false
}

func (r remote) answers(address string) bool {
	ctx, cancel := context.WithTimeout(r.ctx, aliveTime)
	defer cancel()
	r.talk.add(talkAlive)
	_, err := r.datagrams.Probe(ctx, address, gossip.Message{})
	return err == nil
}
