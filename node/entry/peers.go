package entry

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"github.com/dotterelswitch/dotterelswitch/node/clock"
	"github.com/dotterelswitch/dotterelswitch/node/gossip"
)

const (
	// peerKey tells the deployment's datagrams from others. The platform gives
	// hosts no secret of their own; its network keeps others out.
	peerKey = "dotterelswitch"
	// askAtOnce is how many hosts are asked for a floor: enough that one of them
	// has had an answer of the primary lately, however large the fleet is.
	askAtOnce = 8
	// askTimeout bounds the wait for their answers.
	askTimeout = 300 * time.Millisecond
)

func (h *Host) listenPeers() error {
	conn, err := net.ListenPacket("udp", h.settings.PeerAddress)
	if err != nil {
		return err
	}
	h.peers = gossip.NewTransport(conn, peerKey, h.answerPeer)
	return nil
}

// answerPeer tells another host the floors that it asks for.
func (h *Host) answerPeer(m gossip.Message) gossip.Message {
	now := clock.Now()
	var out gossip.Message
	for _, service := range m.AskFloors {
		s := h.Set(service)
		if s == nil {
			continue
		}
		if p, sent, found := s.Floor(); found {
			out.Floors = append(out.Floors, gossip.Floor{Service: service, Position: p, Age: now - sent})
		}
	}
	return out
}

// askPeers asks some other hosts for the floor of a service. It does not wait.
func (h *Host) askPeers(service string) {
	peers := h.registry.Peers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, address := range peers[:min(len(peers), askAtOnce)] {
		go h.askPeer(address, service)
	}
}

func (h *Host) askPeer(address, service string) {
	ctx, cancel := context.WithTimeout(h.ctx, askTimeout)
	defer cancel()
	asked := clock.Now()
	answer, err := h.peers.Probe(ctx, address, gossip.Message{AskFloors: []string{service}})
	if err != nil {
		// Datagrams get lost; the next question goes to other hosts.
		h.log.Debug().Err(err).Str("peer", address).Msg("a question to a peer had no answer")
		return
	}
	for _, f := range answer.Floors {
		if s := h.Set(f.Service); s != nil {
			s.LearnFloor(f.Position, asked-f.Age)
		}
	}
}
