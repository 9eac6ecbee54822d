package entry

import (
	"context"
	"sync"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/logpos"
	"github.com/dotterelswitch/dotterelswitch/core/succession"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
	"github.com/dotterelswitch/dotterelswitch/node/gossip"
)

// ackSurveyTimeout bounds the wait for the hosts' answers. It covers a few round trips
// between regions and scheduling delay on a busy host.
const ackSurveyTimeout = 150 * time.Millisecond

// acknowledgedCommits holds the newest commit of each service that this host has
// acknowledged to its callers. It is safe for concurrent use.
type acknowledgedCommits struct {
	mu     sync.Mutex
	newest map[string]acknowledgedCommit
}

type acknowledgedCommit struct {
	position logpos.Position
	// receivedAt is when the statement was received, on the clock of node/clock.
	receivedAt time.Duration
}

func newAcknowledgedCommits() *acknowledgedCommits {
	return &acknowledgedCommits{newest: map[string]acknowledgedCommit{}}
}

func (a *acknowledgedCommits) record(service string, c acknowledgedCommit) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.newest[service].position.Less(c.position) {
		a.newest[service] = c
	}
}

func (a *acknowledgedCommits) of(service string) acknowledgedCommit {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.newest[service]
}

// ObserveCommit implements edge.Backend.
func (h *Host) ObserveCommit(service string, p logpos.Position, receivedAt time.Duration) {
	h.acknowledged.record(service, acknowledgedCommit{position: p, receivedAt: receivedAt})
}

// answerAcknowledged answers another host's question for the newest acknowledged commit.
func (h *Host) answerAcknowledged(service string, now time.Duration) *gossip.Acknowledged {
	c := h.acknowledged.of(service)
	return &gossip.Acknowledged{Newest: c.position, Age: now - c.receivedAt, Uptime: now - h.startedAt}
}

// SurveyAcks implements promoter.Peers.
func (h *Host) SurveyAcks(ctx context.Context, service string) succession.AckSurvey {
	ctx, cancel := context.WithTimeout(ctx, ackSurveyTimeout)
	defer cancel()
	var mu sync.Mutex
	var wg sync.WaitGroup
	own := h.acknowledged.of(service)
	reports := map[string]succession.AckReport{
		h.settings.Host: {Newest: own.position, ReceivedAt: own.receivedAt, RunningSince: h.startedAt},
	}
	hosts := h.registry.Hosts()
	for _, host := range hosts {
		address, known := h.registry.AddressOf(host)
		if host == h.settings.Host || !known {
			continue
		}
		wg.Go(func() {
			if report, answered := h.askAcknowledged(ctx, address, service); answered {
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

// askAcknowledged asks a host for the newest commit of a service that it has acknowledged.
func (h *Host) askAcknowledged(ctx context.Context, address, service string) (succession.AckReport, bool) {
	sentAt := clock.Now()
	h.traffic.add(trafficAcknowledged)
	answer, err := h.peers.Probe(ctx, address, gossip.Message{AskAcknowledged: service})
	if err != nil || answer.Acknowledged == nil {
		h.log.Debug().Err(err).Str("peer", address).Msg("question for acknowledged commits was not answered")
		return succession.AckReport{}, false
	}
	a := answer.Acknowledged
	return succession.AckReport{Newest: a.Newest, ReceivedAt: sentAt - a.Age, RunningSince: clock.Now() - a.Uptime}, true
}
