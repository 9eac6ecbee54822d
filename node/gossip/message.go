// Package gossip exchanges membership between hosts over UDP. UDP avoids a
// connection per pair of hosts; a lost datagram is compensated by later ones.
package gossip

import (
	"crypto/hmac"
	"crypto/sha256"
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/dotterelswitch/dotterelswitch/core/logpos"
	"github.com/dotterelswitch/dotterelswitch/core/membership"
	"github.com/dotterelswitch/dotterelswitch/core/peerpoll"
	"github.com/dotterelswitch/dotterelswitch/core/quota"
	"github.com/dotterelswitch/dotterelswitch/core/store"
	"github.com/dotterelswitch/dotterelswitch/core/succession"
	"github.com/dotterelswitch/dotterelswitch/node/peer/peerpb"
)

// Message is the content of one datagram.
type Message struct {
	// Sequence matches an answer to its probe.
	Sequence uint64
	Answer   bool
	Self     membership.Host
	Rumours  []membership.Host
	// ConfigVersion is the sender's version of the configuration.
	ConfigVersion uint64
	// AskFloors lists the services for which the sender requests floors.
	AskFloors []string
	// Floors answers AskFloors.
	Floors []Floor
	// PeerReportRequest asks whether the receiver considers a primary dead; nil if
	// unused.
	PeerReportRequest *PeerReportRequest
	// PeerReport answers PeerReportRequest.
	PeerReport *PeerReport
	// Leadership announces a promotion run by the sender; nil if unused.
	Leadership *Leadership
	// QuotaRequest asks the receiver to grant operations; nil if unused.
	QuotaRequest *QuotaRequest
	// Grant answers a QuotaRequest.
	Grant *quota.Grant
	// AskStoreProgress asks what the receiver knows of the platform's store.
	AskStoreProgress bool
	// StoreProgress answers AskStoreProgress.
	StoreProgress *peerpoll.Progress
	// AskAcknowledged names a service, whose newest acknowledged commit is asked for.
	AskAcknowledged string
	// HoldToken is the fencing token of a promotion for which the receiver of
	// AskAcknowledged stops to acknowledge commits; zero for none.
	HoldToken uint64
	// Acknowledged answers AskAcknowledged.
	Acknowledged *Acknowledged
	// Settled tells that promotions have ended; nil if unused.
	Settled *Settled
	// Unsettled names a service in which a promotion may have left replicas paused; empty if
	// unused.
	Unsettled string
}

// Settled tells that no promotion of a service with a fencing token up to Token can take
// effect any more.
type Settled struct {
	Service string
	Token   uint64
	// Term is the newest term that the sender knows. Commits of older ones are not to be
	// acknowledged any more.
	Term logpos.Term
}

// Acknowledged is what a host knows of the commits that it has acknowledged to its callers.
type Acknowledged struct {
	// Newest is zero if there was none since the host started.
	Newest logpos.Position
	// Age is the time since the host received the statement of that commit, and Uptime the
	// time since the host started, when the message was encoded.
	Age, Uptime time.Duration
	// Held is set if the host has stopped to acknowledge commits.
	Held bool
}

// QuotaRequest asks for a grant of a number of operations to a team.
type QuotaRequest struct {
	Team       string
	Operations int
}

// Leadership names the primary of a service and its term.
type Leadership struct {
	Service, Primary string
	Term             logpos.Term
	// Mark is how far the primary's log is known to have gone.
	Mark succession.LogMark
}

// PeerReportRequest names a primary that the sender considers dead and asks for the
// receiver's view of it.
type PeerReportRequest struct {
	Service, Upstream string
	// Mark is set if the sender has found the primary's log lost.
	Mark succession.LogMark
}

// PeerReport is a host's view of a primary that another host considers dead.
type PeerReport struct {
	Dead bool
	// Reaches is set if the primary answered the host recently.
	Reaches bool
	// StoreReached is set if the host can reach the platform's store.
	StoreReached bool
	// Lock is the fencing token of the service's promotion lock, as known to
	// the host.
	Lock uint64
	// Leading is set if the host runs a promotion of the service or is about to.
	Leading bool
	// Mark is set if the host has found the primary's log lost.
	Mark succession.LogMark
	// Settled is the token up to which the host, as the lock's holder, knows that
	// promotions have ended; zero if it cannot tell. SettledTerm is the newest term it knows.
	Settled     uint64
	SettledTerm logpos.Term
}

// Floor is a log position at or above every commit of a service that was
// acknowledged before a point in time: the minimum position of a read that must not
// miss any of them.
type Floor struct {
	Service  string
	Position logpos.Position
	// Primary is the member confirmed as primary in LeadTerm; empty if unknown
	// to the sender.
	Primary  string
	LeadTerm logpos.Term
	// Age is the time from that point to the encoding of the message. The
	// receiver subtracts it from the time at which it sent the request, so that
	// network delay can only make the floor appear older.
	Age time.Duration
	// Mark is how far the primary's log is known to have gone.
	Mark succession.LogMark
}

const (
	// macBytes is the length of the message authentication code that precedes
	// the message.
	macBytes = 16
	// maxDatagramBytes keeps a datagram within one Ethernet frame, so that it is
	// not fragmented.
	maxDatagramBytes = 1400
)

var (
	errTooShort = errors.New("gossip: datagram is too short")
	errWrongMAC = errors.New("gossip: datagram has a wrong authentication code")
)

// authCode returns the truncated HMAC-SHA256 of a message under the shared key.
func authCode(key, body []byte) []byte {
	h := hmac.New(sha256.New, key)
	_, _ = h.Write(body)
	return h.Sum(nil)[:macBytes]
}

// encode serializes and authenticates a message.
func encode(key []byte, m Message) ([]byte, error) {
	body, err := proto.Marshal(&peerpb.Gossip{
		Sequence: m.Sequence, Answer: m.Answer, Self: hostToProto(m.Self),
		Rumours: hostsToProto(m.Rumours), ConfigVersion: m.ConfigVersion,
		AskFloors: m.AskFloors, Floors: floorsToProto(m.Floors),
		AskLost: peerReportRequestToProto(m.PeerReportRequest), Opinion: peerReportToProto(m.PeerReport), Lead: leadershipToProto(m.Leadership),
		QuotaRequest: quotaRequestToProto(m.QuotaRequest), Grant: grantToProto(m.Grant),
		AskStoreProgress: m.AskStoreProgress, StoreProgress: storeProgressToProto(m.StoreProgress),
		AskAcknowledged: m.AskAcknowledged, HoldToken: m.HoldToken, Acknowledged: acknowledgedToProto(m.Acknowledged), Settled: settledToProto(m.Settled), Unsettled: m.Unsettled,
	})
	if err != nil {
		return nil, err
	}
	return append(authCode(key, body), body...), nil
}

// decode verifies and parses a datagram.
func decode(key, datagram []byte) (Message, error) {
	if len(datagram) < macBytes {
		return Message{}, errTooShort
	}
	body := datagram[macBytes:]
	if !hmac.Equal(datagram[:macBytes], authCode(key, body)) {
		return Message{}, errWrongMAC
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
		m.PeerReportRequest = &PeerReportRequest{Service: q.GetService(), Upstream: q.GetUpstream(), Mark: peerpb.ToLogMark(q.GetMark())}
	}
	if o := p.GetOpinion(); o != nil {
		m.PeerReport = &PeerReport{
			Dead: o.GetDead(), Reaches: o.GetReaches(), StoreReached: o.GetStoreReached(), Lock: o.GetLock(), Leading: o.GetLeading(),
			Mark: peerpb.ToLogMark(o.GetMark()), Settled: o.GetSettled(), SettledTerm: logpos.Term(o.GetSettledTerm()),
		}
	}
	if l := p.GetLead(); l != nil {
		m.Leadership = &Leadership{Service: l.GetService(), Primary: l.GetPrimary(), Term: logpos.Term(l.GetTerm()), Mark: peerpb.ToLogMark(l.GetMark())}
	}
	if q := p.GetQuotaRequest(); q != nil {
		m.QuotaRequest = &QuotaRequest{Team: q.GetTeam(), Operations: int(q.GetOperations())}
	}
	if q := p.GetGrant(); q != nil {
		m.Grant = &quota.Grant{Granted: int(q.GetGranted()), RetryAfter: time.Duration(q.GetRetryAfterUs()) * time.Microsecond}
	}
	m.AskStoreProgress = p.GetAskStoreProgress()
	if q := p.GetStoreProgress(); q != nil {
		m.StoreProgress = &peerpoll.Progress{Revision: store.Revision(q.GetRevision()), ConfigVersion: q.GetConfigVersion(), ReachesStore: q.GetReachesStore()}
	}
	m.AskAcknowledged, m.HoldToken, m.Acknowledged = p.GetAskAcknowledged(), p.GetHoldToken(), acknowledgedFromProto(p.GetAcknowledged())
	if s := p.GetSettled(); s != nil {
		m.Settled = &Settled{Service: s.GetService(), Token: s.GetToken(), Term: logpos.Term(s.GetTerm())}
	}
	m.Unsettled = p.GetUnsettled()
	return m, nil
}

func settledToProto(s *Settled) *peerpb.Settled {
	if s == nil {
		return nil
	}
	return &peerpb.Settled{Service: s.Service, Token: s.Token, Term: uint64(s.Term)}
}

func acknowledgedToProto(a *Acknowledged) *peerpb.Acknowledged {
	if a == nil {
		return nil
	}
	return &peerpb.Acknowledged{
		Newest: peerpb.FromPosition(a.Newest), AgeUs: uint64(a.Age.Microseconds()), UptimeUs: uint64(a.Uptime.Microseconds()), Held: a.Held,
	}
}

func acknowledgedFromProto(p *peerpb.Acknowledged) *Acknowledged {
	if p == nil {
		return nil
	}
	return &Acknowledged{
		Newest: peerpb.ToPosition(p.GetNewest()),
		Age:    time.Duration(p.GetAgeUs()) * time.Microsecond, Uptime: time.Duration(p.GetUptimeUs()) * time.Microsecond, Held: p.GetHeld(),
	}
}

func storeProgressToProto(p *peerpoll.Progress) *peerpb.StoreProgress {
	if p == nil {
		return nil
	}
	return &peerpb.StoreProgress{Revision: uint64(p.Revision), ConfigVersion: p.ConfigVersion, ReachesStore: p.ReachesStore}
}

func quotaRequestToProto(q *QuotaRequest) *peerpb.QuotaRequest {
	if q == nil {
		return nil
	}
	return &peerpb.QuotaRequest{Team: q.Team, Operations: uint32(q.Operations)}
}

func grantToProto(g *quota.Grant) *peerpb.QuotaGrant {
	if g == nil {
		return nil
	}
	return &peerpb.QuotaGrant{Granted: uint32(g.Granted), RetryAfterUs: g.RetryAfter.Microseconds()}
}

func leadershipToProto(l *Leadership) *peerpb.Lead {
	if l == nil {
		return nil
	}
	return &peerpb.Lead{Service: l.Service, Primary: l.Primary, Term: uint64(l.Term), Mark: peerpb.FromLogMark(l.Mark)}
}

func peerReportRequestToProto(q *PeerReportRequest) *peerpb.LostQuestion {
	if q == nil {
		return nil
	}
	return &peerpb.LostQuestion{Service: q.Service, Upstream: q.Upstream, Mark: peerpb.FromLogMark(q.Mark)}
}

func peerReportToProto(o *PeerReport) *peerpb.Opinion {
	if o == nil {
		return nil
	}
	return &peerpb.Opinion{
		Dead: o.Dead, Reaches: o.Reaches, StoreReached: o.StoreReached, Lock: o.Lock, Leading: o.Leading, Mark: peerpb.FromLogMark(o.Mark),
		Settled: o.Settled, SettledTerm: uint64(o.SettledTerm),
	}
}

func floorsToProto(floors []Floor) []*peerpb.Floor {
	out := make([]*peerpb.Floor, 0, len(floors))
	for _, f := range floors {
		out = append(out, &peerpb.Floor{
			Service: f.Service, Term: uint64(f.Position.Term), Offset: uint64(f.Position.Offset),
			AgeUs: uint64(max(f.Age, 0).Microseconds()), Primary: f.Primary, LeadTerm: uint64(f.LeadTerm), Mark: peerpb.FromLogMark(f.Mark),
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
		// Rounds up, because the sender truncated to microseconds.
		Age:  time.Duration(p.GetAgeUs()+1) * time.Microsecond,
		Mark: peerpb.ToLogMark(p.GetMark()),
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
