package owner

import (
	"context"
	"slices"

	"github.com/dotterelswitch/dotterelswitch/core/conf"
	"github.com/dotterelswitch/dotterelswitch/core/membership"
	"github.com/dotterelswitch/dotterelswitch/node/groupmonitor"
	"github.com/dotterelswitch/dotterelswitch/node/upstream"
)

// monitoredGroup is a group in which this host owns at least one member.
type monitoredGroup struct {
	spec     conf.Service
	monitor  *groupmonitor.Monitor
	controls map[string]*upstream.Control
	cancel   context.CancelFunc
}

// applicationNameRoot is the common prefix of the application names of all hosts.
const applicationNameRoot = "dotterelswitch/"

// applicationName identifies the connections of one incarnation of a host, so
// that they can be terminated when the host is dead.
func applicationName(h membership.Host) string { return applicationNameRoot + SenderName(h) }

func applicationPrefix(hostID string) string { return applicationNameRoot + hostID + "/" }

func target(cfg Config, service string, u conf.Upstream) upstream.Target {
	return upstream.Target{
		Service: service, Member: u.Name, Address: u.Address,
		User: cfg.User, Password: cfg.Password,
		Application: applicationName(cfg.Host), Dial: cfg.Dial, Rejected: cfg.AnswerRejected,
	}
}

func newMonitoredGroup(ctx context.Context, cfg Config, s conf.Service, rank int) *monitoredGroup {
	ctx, cancel := context.WithCancel(ctx)
	g := &monitoredGroup{spec: s, controls: make(map[string]*upstream.Control), cancel: cancel}
	for _, u := range s.Upstreams {
		control := target(cfg, s.Name, u)
		control.Dial = cfg.ControlDial
		g.controls[u.Name] = upstream.NewControl(control)
	}
	g.monitor = groupmonitor.New(groupmonitor.Config{
		Service: s.Name, Members: s.UpstreamNames(), Controls: g.controls,
		Candidate: applicationName(cfg.Host), Rank: rank, Timing: cfg.Timing,
		Seed: membership.Score(s.Name, cfg.Host.ID), OnPromoted: cfg.RecordPromotion, Log: cfg.Log,
	})
	go g.monitor.Run(ctx)
	return g
}

// sameMembers reports whether the group has the same members and addresses as s.
func (g *monitoredGroup) sameMembers(s conf.Service) bool {
	return slices.EqualFunc(g.spec.Upstreams, s.Upstreams, func(a, b conf.Upstream) bool {
		return a.Name == b.Name && a.Address == b.Address
	})
}

func (g *monitoredGroup) close() {
	g.cancel()
	for _, c := range g.controls {
		c.Close()
	}
}
