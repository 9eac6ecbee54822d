package entry

import (
	"context"
	"sync"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/logpos"
	"github.com/dotterelswitch/dotterelswitch/core/succession"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
	"github.com/dotterelswitch/dotterelswitch/node/eventlog"
	"github.com/dotterelswitch/dotterelswitch/node/gossip"
)

// ackSurveyTimeout bounds the wait for the hosts' answers. It covers a few round trips
// between regions and scheduling delay on a busy host.
const ackSurveyTimeout = 150 * time.Millisecond

// acknowledgedCommits holds the newest commit of each service that this host has
// acknowledged to its callers, and decides whether it may acknowledge another one. It is
// safe for concurrent use.
type acknowledgedCommits struct {
	mu     sync.Mutex
	newest map[string]acknowledgedCommit
	holds  map[string]*succession.CommitHold
}

type acknowledgedCommit struct {
	position logpos.Position
	// receivedAt is when the statement was received, on the clock of node/clock.
	receivedAt time.Duration
}

func newAcknowledgedCommits() *acknowledgedCommits {
	return &acknowledgedCommits{newest: map[string]acknowledgedCommit{}, holds: map[string]*succession.CommitHold{}}
}

// record records a commit that is about to be acknowledged. It returns false if the commit
// must not be acknowledged.
func (a *acknowledgedCommits) record(service string, c acknowledgedCommit) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if hold, found := a.holds[service]; found && !hold.MayAcknowledge(c.position.Term) {
		return false
	}
	if a.newest[service].position.Less(c.position) {
		a.newest[service] = c
	}
	return true
}

// hold stops the acknowledgements of a service's commits for the promotion with a token,
// zero for none, and returns the newest commit and whether the hold stands.
func (a *acknowledgedCommits) hold(service string, token uint64, now time.Duration) (acknowledgedCommit, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	held := token != 0 && a.holdOf(service).Place(token, now)
	return a.newest[service], held
}

// start holds the commits of a service that this process has not served yet.
func (a *acknowledgedCommits) start(service string, now time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, found := a.holds[service]; !found {
		a.holdOf(service).Place(succession.UnknownPromotion, now)
	}
}

// holdOf returns the hold of a service. It is called with mu held.
func (a *acknowledgedCommits) holdOf(service string) *succession.CommitHold {
	if _, found := a.holds[service]; !found {
		a.holds[service] = &succession.CommitHold{}
	}
	return a.holds[service]
}

// settle records that promotions with tokens up to the given one had ended at a time, and
// reports whether commits are acknowledged again.
func (a *acknowledgedCommits) settle(service string, token uint64, term logpos.Term, asOf time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.holdOf(service).Settle(token, term, asOf)
}

// heldFor returns the token of the promotion for which commits of a service are not
// acknowledged, and since when; zero if they are.
func (a *acknowledgedCommits) heldFor(service string) (token uint64, since time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	hold, found := a.holds[service]
	if !found {
		return 0, 0
	}
	return hold.Token(), hold.Since()
}

// ObserveCommit implements edge.Backend.
func (h *Host) ObserveCommit(service string, p logpos.Position, receivedAt time.Duration) bool {
	return h.acknowledged.record(service, acknowledgedCommit{position: p, receivedAt: receivedAt})
}

// CommitHold implements promoter.Peers.
func (h *Host) CommitHold(service string) (token uint64, since time.Duration) {
	return h.acknowledged.heldFor(service)
}

// ObserveSettled implements promoter.Peers.
func (h *Host) ObserveSettled(service string, token uint64, term logpos.Term, asOf time.Duration) {
	_, since := h.acknowledged.heldFor(service)
	if !h.acknowledged.settle(service, token, term, asOf) {
		return
	}
	eventlog.CommitsReleased.Info(h.log).Str("service", service).Uint64("token", token).Dur("held_ms", clock.Now()-since).Send()
	if g := h.group(service); g != nil {
		g.set.CommitsReleased()
	}
}

// AnnounceSettled implements promoter.Peers.
func (h *Host) AnnounceSettled(service string, token uint64, term logpos.Term) {
	h.ObserveSettled(service, token, term, clock.Now())
	h.sendToFleet(gossip.Message{Settled: &gossip.Settled{Service: service, Token: token, Term: term}}, trafficSettled)
}

// holdCommits holds the commits of a service for a promotion, with its token or zero, and
// returns the newest one that was acknowledged and whether the hold stands.
func (h *Host) holdCommits(service string, token uint64, now time.Duration) (acknowledgedCommit, bool) {
	before, _ := h.acknowledged.heldFor(service)
	c, held := h.acknowledged.hold(service, token, now)
	if held && before == 0 {
		eventlog.CommitsHeld.Info(h.log).Str("service", service).Uint64("token", token).Send()
	}
	return c, held
}

// ReportUnsettled implements promoter.Peers.
func (h *Host) ReportUnsettled(ctx context.Context, service, host string) bool {
	address, known := h.registry.AddressOf(host)
	if !known {
		return false
	}
	h.traffic.add(trafficSettled)
	_, err := h.peers.Probe(ctx, address, gossip.Message{Unsettled: service})
	return err == nil
}

// ObserveUnansweredCommit implements edge.Backend.
func (h *Host) ObserveUnansweredCommit(service string) {
	if g := h.group(service); g != nil {
		g.promoter.ObserveUnansweredCommit()
	}
}

// answerAcknowledged answers another host's question for the newest acknowledged commit, and
// stops to acknowledge commits if the question asks for it.
func (h *Host) answerAcknowledged(service string, holdToken uint64, now time.Duration) *gossip.Acknowledged {
	c, held := h.holdCommits(service, holdToken, now)
	return &gossip.Acknowledged{Newest: c.position, Age: now - c.receivedAt, Uptime: now - h.startedAt, Held: held}
}

// SurveyAcks implements promoter.Peers.
func (h *Host) SurveyAcks(ctx context.Context, service string, token uint64) succession.AckSurvey {
	ctx, cancel := context.WithTimeout(ctx, ackSurveyTimeout)
	defer cancel()
	var mu sync.Mutex
	var wg sync.WaitGroup
	own, held := h.holdCommits(service, token, clock.Now())
	reports := map[string]succession.AckReport{
		h.settings.Host: {Newest: own.position, ReceivedAt: own.receivedAt, RunningSince: h.startedAt, GoesOn: !held},
	}
	hosts := h.registry.Hosts()
	for _, host := range hosts {
		address, known := h.registry.AddressOf(host)
		if host == h.settings.Host || !known {
			continue
		}
		wg.Go(func() {
			if report, answered := h.askAcknowledged(ctx, address, service, token); answered {
				mu.Lock()
				defer mu.Unlock()
				reports[host] = report
			}
		})
	}
	wg.Wait()
	// A host that deregisters to stop goes on serving for up to its grace period.
	fleetSince := max(h.registry.LastDeparture(), h.startedAt) + h.settings.GracePeriod
	return succession.SurveyAcks(hosts, reports, fleetSince)
}

// askAcknowledged asks a host for the newest commit of a service that it has acknowledged,
// and to acknowledge no further ones.
func (h *Host) askAcknowledged(ctx context.Context, address, service string, token uint64) (succession.AckReport, bool) {
	sentAt := clock.Now()
	h.traffic.add(trafficAcknowledged)
	answer, err := h.peers.Probe(ctx, address, gossip.Message{AskAcknowledged: service, HoldToken: token})
	if err != nil || answer.Acknowledged == nil {
		h.log.Debug().Err(err).Str("peer", address).Msg("question for acknowledged commits was not answered")
		return succession.AckReport{}, false
	}
	a := answer.Acknowledged
	return succession.AckReport{Newest: a.Newest, ReceivedAt: sentAt - a.Age, RunningSince: clock.Now() - a.Uptime, GoesOn: !a.Held}, true
}
