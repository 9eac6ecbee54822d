package entry

import (
	"context"
	"time"

	"github.com/dotterelswitch/dotterelswitch/node/gossip"
	"github.com/dotterelswitch/dotterelswitch/node/peer"
)

const (
	// aliveTime bounds the wait for one sign of life: three round trips between
	// regions and a busy host's turn.
	aliveTime = 150 * time.Millisecond
	// aliveTries is how often it is asked for, because datagrams get lost.
	aliveTries = 2
)

// remote runs jobs on other hosts. It implements replicaset.Remote.
type remote struct {
	*peer.GateClient
	datagrams *gossip.Transport
	talk      *talkCounts
}

// Alive implements replicaset.Remote.
func (r remote) Alive(ctx context.Context, address string) bool {
	for range aliveTries {
		if r.answers(ctx, address) {
			return true
		}
	}
	return false
}

func (r remote) answers(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, aliveTime)
	defer cancel()
	r.talk.add(talkAlive)
	_, err := r.datagrams.Probe(ctx, address, gossip.Message{})
	return err == nil
}
