// Package gossip exchanges membership between hosts by datagrams. A datagram
// costs the same however large the fleet is, where a connection to each host
// would not; one that is lost is made good by the next.
package gossip

import (
	"crypto/hmac"
	"crypto/sha256"
	"errors"

	"google.golang.org/protobuf/proto"

	"github.com/dotterelswitch/dotterelswitch/core/membership"
	"github.com/dotterelswitch/dotterelswitch/node/peer/peerpb"
)

// Message is one datagram.
type Message struct {
	// Sequence pairs an answer with its probe.
	Sequence uint64
	Answer   bool
	Self     membership.Host
	Rumours  []membership.Host
	// ConfigVersion is the sender's version of the configuration.
	ConfigVersion uint64
}

const (
	// macBytes is the length of the authentication code ahead of the message.
	macBytes = 16
	// maxDatagram keeps a message within one Ethernet frame.
	maxDatagram = 1400
)

var (
	errShort = errors.New("gossip: datagram is too short")
	errMAC   = errors.New("gossip: datagram has a wrong authentication code")
)

// sum returns the authentication code of a message under the shared key.
func sum(key, body []byte) []byte {
	h := hmac.New(sha256.New, key)
	_, _ = h.Write(body)
	return h.Sum(nil)[:macBytes]
}

// encode returns the datagram for a message.
func encode(key []byte, m Message) ([]byte, error) {
	body, err := proto.Marshal(&peerpb.Gossip{
		Sequence: m.Sequence, Answer: m.Answer, Self: hostToProto(m.Self),
		Rumours: hostsToProto(m.Rumours), ConfigVersion: m.ConfigVersion,
	})
	if err != nil {
		return nil, err
	}
	return append(sum(key, body), body...), nil
}

// decode checks and reads a datagram.
func decode(key, datagram []byte) (Message, error) {
	if len(datagram) < macBytes {
		return Message{}, errShort
	}
	body := datagram[macBytes:]
	if !hmac.Equal(datagram[:macBytes], sum(key, body)) {
		return Message{}, errMAC
	}
	var p peerpb.Gossip
	if err := proto.Unmarshal(body, &p); err != nil {
		return Message{}, err
	}
	m := Message{
		Sequence: p.GetSequence(), Answer: p.GetAnswer(), Self: hostFromProto(p.GetSelf()),
		ConfigVersion: p.GetConfigVersion(),
	}
	for _, r := range p.GetRumours() {
		m.Rumours = append(m.Rumours, hostFromProto(r))
	}
	return m, nil
}

func hostToProto(h membership.Host) *peerpb.Host {
	return &peerpb.Host{Id: h.ID, Zone: h.Zone, Peer: h.Peer, Incarnation: h.Incarnation, State: uint32(h.State)}
}

func hostsToProto(hosts []membership.Host) []*peerpb.Host {
	out := make([]*peerpb.Host, 0, len(hosts))
	for _, h := range hosts {
		out = append(out, hostToProto(h))
	}
	return out
}

func hostFromProto(p *peerpb.Host) membership.Host {
	return membership.Host{
		ID: p.GetId(), Zone: p.GetZone(), Peer: p.GetPeer(),
		Incarnation: p.GetIncarnation(), State: membership.State(p.GetState()),
	}
}
