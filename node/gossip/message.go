// Package gossip exchanges membership between hosts by datagrams. A datagram
// costs the same however large the fleet is, where a connection to each host
// would not; one that is lost is made good by the next.
package gossip

import (
	"crypto/hmac"
	"crypto/sha256"
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/dotterelswitch/dotterelswitch/core/logpos"
	"github.com/dotterelswitch/dotterelswitch/core/membership"
	"github.com/dotterelswitch/dotterelswitch/core/quota"
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
	// AskFloors names the services whose floors the sender lacks.
	AskFloors []string
	// Floors answer AskFloors.
	Floors []Floor
	// AskLost asks whether the receiver has lost a primary; nil asks nothing.
	AskLost *LostQuestion
	// Opinion answers AskLost.
	Opinion *Opinion
	// Lead tells of a promotion that the sender has led; nil tells of none.
	Lead *Lead
	// QuotaRequest asks the receiver to grant operations; nil asks nothing.
	QuotaRequest *QuotaRequest
	// Grant answers a QuotaRequest.
	Grant *quota.Grant
}

// QuotaRequest asks for a grant of operations of a team.
type QuotaRequest struct {
	Team       string
	Operations int
}

// Lead is which member leads a service, and in which term.
type Lead struct {
	Service, Primary string
	Term             logpos.Term
}

// LostQuestion names a primary that the sender has lost.
type LostQuestion struct{ Service, Upstream string }

// Opinion is what a host says of a primary that another one has lost.
type Opinion struct {
	Dead bool
	// Reaches tells that the primary has answered the host lately.
	Reaches bool
	// StoreReached tells that the host reaches the platform's store.
	StoreReached bool
	// Lock is the token of the service's promotion lock that it knows.
	Lock uint64
	// Leading tells that it leads a promotion of the service, or is about to.
	Leading bool
}

// Floor is a log position that covers every commit of a service acknowledged
// before a time.
type Floor struct {
	Service  string
	Position logpos.Position
	// Primary is the member that proved its lead in LeadTerm; empty where the
	// sender does not know it.
	Primary  string
	LeadTerm logpos.Term
	// Age is how long before the message was made that time was. The receiver
	// counts it from when it asked, so that delays on the way only make the
	// floor look older than it is.
	Age time.Duration
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
		AskFloors: m.AskFloors, Floors: floorsToProto(m.Floors),
		AskLost: questionToProto(m.AskLost), Opinion: opinionToProto(m.Opinion), Lead: leadToProto(m.Lead),
		QuotaRequest: quotaRequestToProto(m.QuotaRequest), Grant: grantToProto(m.Grant),
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
	m.AskFloors = p.GetAskFloors()
	for _, f := range p.GetFloors() {
		m.Floors = append(m.Floors, floorFromProto(f))
	}
	if q := p.GetAskLost(); q != nil {
		m.AskLost = &LostQuestion{Service: q.GetService(), Upstream: q.GetUpstream()}
	}
	if o := p.GetOpinion(); o != nil {
		m.Opinion = &Opinion{Dead: o.GetDead(), Reaches: o.GetReaches(), StoreReached: o.GetStoreReached(), Lock: o.GetLock(), Leading: o.GetLeading()}
	}
	if l := p.GetLead(); l != nil {
		m.Lead = &Lead{Service: l.GetService(), Primary: l.GetPrimary(), Term: logpos.Term(l.GetTerm())}
	}
	if q := p.GetQuotaRequest(); q != nil {
		m.QuotaRequest = &QuotaRequest{Team: q.GetTeam(), Operations: int(q.GetOperations())}
	}
	if q := p.GetGrant(); q != nil {
		m.Grant = &quota.Grant{Granted: int(q.GetGranted()), RetryAfter: time.Duration(q.GetRetryAfterUs()) * time.Microsecond}
	}
	return m, nil
}

func quotaRequestToProto(q *QuotaRequest) *peerpb.QuotaRequest {
	if q == nil {
		return nil
	}
	return &peerpb.QuotaRequest{Team: q.Team, Operations: uint32(q.Operations)}
}

func grantToProto(p *quota.Grant) *peerpb.QuotaGrant {
	if p == nil {
		return nil
	}
	return &peerpb.QuotaGrant{Granted: uint32(p.Granted), RetryAfterUs: p.RetryAfter.Microseconds()}
}

func leadToProto(l *Lead) *peerpb.Lead {
	if l == nil {
		return nil
	}
	return &peerpb.Lead{Service: l.Service, Primary: l.Primary, Term: uint64(l.Term)}
}

func questionToProto(q *LostQuestion) *peerpb.LostQuestion {
	if q == nil {
		return nil
	}
	return &peerpb.LostQuestion{Service: q.Service, Upstream: q.Upstream}
}

func opinionToProto(o *Opinion) *peerpb.Opinion {
	if o == nil {
		return nil
	}
	return &peerpb.Opinion{Dead: o.Dead, Reaches: o.Reaches, StoreReached: o.StoreReached, Lock: o.Lock, Leading: o.Leading}
}

func floorsToProto(floors []Floor) []*peerpb.Floor {
	out := make([]*peerpb.Floor, 0, len(floors))
	for _, f := range floors {
		out = append(out, &peerpb.Floor{
			Service: f.Service, Term: uint64(f.Position.Term), Offset: uint64(f.Position.Offset),
			AgeUs: uint64(max(f.Age, 0).Microseconds()), Primary: f.Primary, LeadTerm: uint64(f.LeadTerm),
		})
	}
	return out
}

func floorFromProto(p *peerpb.Floor) Floor {
	return Floor{
		Service:  p.GetService(),
		Position: logpos.Position{Term: logpos.Term(p.GetTerm()), Offset: logpos.Offset(p.GetOffset())},
		Primary:  p.GetPrimary(),
		LeadTerm: logpos.Term(p.GetLeadTerm()),
		// One more microsecond makes up for the rounding.
		Age: time.Duration(p.GetAgeUs()+1) * time.Microsecond,
	}
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
