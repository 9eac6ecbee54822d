// Package platformdemo runs hosts against the stand-in of the users' platform,
// in one process and with the real code, under a load that checks its answers.
package platformdemo

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/dotterelswitch/dotterelswitch/node/entry"
	"github.com/dotterelswitch/dotterelswitch/node/onplatform"
	"github.com/dotterelswitch/dotterelswitch/node/replicaset"
	"github.com/dotterelswitch/dotterelswitch/standin/lineplatform"
	"github.com/dotterelswitch/dotterelswitch/standin/loopback"
)

// Fault is what goes wrong half way through.
type Fault string

// The faults.
const (
	NoFault      Fault = "none"
	PrimaryCrash Fault = "primary-crash"
	DrainPrimary Fault = "drain-primary"
	StoreOutage  Fault = "store-outage"
	StoreRestore Fault = "store-restore"
	HostStop     Fault = "host-stop"
	KeyRevoked   Fault = "key-revoked"
	LimitLowered Fault = "limit-lowered"
)

// Faults returns all faults.
func Faults() []Fault {
	return []Fault{NoFault, PrimaryCrash, DrainPrimary, StoreOutage, StoreRestore, HostStop, KeyRevoked, LimitLowered}
}

// Options describe a run.
type Options struct {
	Hosts, Callers int
	Duration       time.Duration
	Fault          Fault
	Log            zerolog.Logger
}

// The deployment of a run: the archive's members, near to each other.
const (
	service        = "archive"
	members        = 3
	slots          = 2
	maxConnections = 16
	work           = 2 * time.Millisecond
	lag            = 5 * time.Millisecond
	promoteTime    = 100 * time.Millisecond
	readyTimeout   = 10 * time.Second
	grace          = 3 * time.Second
	statementTime  = 2 * time.Second
	target         = 500 * time.Millisecond
	staleness      = 1500 * time.Millisecond
	callTimeout    = time.Second
	maxSessions    = 10_000
	workers        = 1024
)

// Run starts a deployment, loads it, and reports what the callers saw.
func Run(ctx context.Context, o Options) (*Report, error) {
	p, err := lineplatform.Start()
	if err != nil {
		return nil, err
	}
	defer p.Close()
	group, err := p.AddGroup(service, lineplatform.Options{
		Members: members, Slots: slots, MaxConnections: maxConnections, ServiceTime: work, ReplicationLag: lag,
		PromotionTime: promoteTime, Zones: []string{"zone-a", "zone-b", "zone-c"},
	})
	if err != nil {
		return nil, err
	}
	p.SetTeams(teams()...)
	p.Configure(routes(), statementTime)
	hosts, addresses, err := startHosts(p, o)
	defer func() {
		for _, h := range hosts {
			h.Kill()
		}
	}()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, o.Duration)
	defer cancel()
	report := &Report{Hosts: o.Hosts, Callers: o.Callers, Fault: string(o.Fault), Teams: map[string]*TeamReport{}}
	for _, t := range teams() {
		report.Teams[t.Name] = &TeamReport{}
	}
	var wg sync.WaitGroup
	for i := range o.Callers {
		wg.Go(func() { runCaller(ctx, i, addresses[i%len(addresses)], group, report) })
	}
	older := p.Store.Backup()
	timer := time.AfterFunc(o.Duration/2, func() { inject(o.Fault, p, group, hosts, older) })
	defer timer.Stop()
	wg.Wait()
	report.checkTeams(group.Executions())
	return report, nil
}

func routes() []lineplatform.Route {
	base := lineplatform.Route{Service: service, StatementTimeout: statementTime, TargetLatency: target, Priority: 1, MaxStaleness: staleness}
	strict, own := base, base
	strict.Database, strict.Consistency = "submissions", "primary"
	own.Database, own.Consistency = "alerts", "read_your_writes"
	return []lineplatform.Route{strict, own}
}

// startHosts starts the hosts and waits until they take callers.
func startHosts(p *lineplatform.Platform, o Options) ([]*entry.Host, []string, error) {
	var hosts []*entry.Host
	var addresses []string
	for i := range o.Hosts {
		s, err := hostSettings(i)
		if err != nil {
			return hosts, nil, err
		}
		a := onplatform.NewAdapter(onplatform.Options{Host: s.Host, StoreAddress: p.Address(), PromotionAddress: p.Address(), Timeout: callTimeout})
		h, err := entry.Start(s, a, entry.Dial, o.Log)
		if err != nil {
			return hosts, nil, err
		}
		hosts, addresses = append(hosts, h), append(addresses, s.CallerAddress)
	}
	for _, h := range hosts {
		if err := awaitReady(h); err != nil {
			return hosts, nil, err
		}
	}
	return hosts, addresses, nil
}

func awaitReady(h *entry.Host) error {
	const poll = 10 * time.Millisecond
	for until := time.Now().Add(readyTimeout); time.Now().Before(until); time.Sleep(poll) {
		if h.Ready() {
			return nil
		}
	}
	return fmt.Errorf("a host was not ready after %s", readyTimeout)
}

func hostSettings(i int) (entry.Settings, error) {
	zone := []string{"zone-a", "zone-b", "zone-c"}[i%3]
	s := entry.Settings{
		Host: fmt.Sprintf("host-%d", i+1), Places: replicaset.Topology{Zone: zone},
		MaxSessions: maxSessions, Workers: workers, GracePeriod: grace, DrainBound: 2 * grace,
		QuotaTolerance: tolerance,
	}
	for _, address := range []*string{&s.CallerAddress, &s.ReadinessAddress, &s.PeerAddress} {
		free, err := loopback.FreeAddress()
		if err != nil {
			return s, err
		}
		*address = free
	}
	return s, nil
}

// The store is away for storeAway before it returns from the copy that was made at
// the start, and the operator and the members write again after rewriteAfter.
const (
	storeAway    = 300 * time.Millisecond
	rewriteAfter = time.Second
)

// inject makes the fault happen.
func inject(f Fault, p *lineplatform.Platform, group *lineplatform.Group, hosts []*entry.Host, older lineplatform.Backup) {
	primary := group.Primary()
	switch {
	case f == KeyRevoked:
		p.SetTeams(withoutKey()...)
		p.Configure(routes(), statementTime)
	case f == LimitLowered:
		p.SetTeams(lowered()...)
		p.Configure(routes(), statementTime)
	case f == StoreOutage:
		p.Store.SetFailureMode(lineplatform.Unavailable)
	case f == StoreRestore:
		p.RestoreStore(older, storeAway, rewriteAfter)
	case f == HostStop:
		hosts[0].Stop()
	case primary == nil:
	case f == PrimaryCrash:
		primary.Crash()
	case f == DrainPrimary:
		primary.Drain()
	}
}
