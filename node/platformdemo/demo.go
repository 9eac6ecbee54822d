// Package platformdemo runs hosts and the stand-in of the users' platform in one
// process, under a load that checks the answers.
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

// Fault is a fault that is injected half way through a run.
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

func Faults() []Fault {
	return []Fault{NoFault, PrimaryCrash, DrainPrimary, StoreOutage, StoreRestore, HostStop, KeyRevoked, LimitLowered}
}

// Options configure a run.
type Options struct {
	Hosts, Callers int
	Duration       time.Duration
	Fault          Fault
	Log            zerolog.Logger
}

// The deployment of a run: an archive group with low replication lag.
const (
	service          = "archive"
	membersPerGroup  = 3
	slots            = 2
	maxConnections   = 16
	serviceTime      = 2 * time.Millisecond
	replicationLag   = 5 * time.Millisecond
	promotionTime    = 100 * time.Millisecond
	readyTimeout     = 10 * time.Second
	stopGracePeriod  = 3 * time.Second
	statementTimeout = 2 * time.Second
	targetLatency    = 500 * time.Millisecond
	maxStaleness     = 1500 * time.Millisecond
	callTimeout      = time.Second
	maxSessions      = 10_000
	workersPerHost   = 1024
)

// Run starts a deployment, puts it under load, and reports what the callers
// observed.
func Run(ctx context.Context, o Options) (*Report, error) {
	p, err := lineplatform.Start()
	if err != nil {
		return nil, err
	}
	defer p.Close()
	group, err := p.AddGroup(service, lineplatform.Options{
		Members: membersPerGroup, Slots: slots, MaxConnections: maxConnections, ServiceTime: serviceTime, ReplicationLag: replicationLag,
		PromotionTime: promotionTime, Zones: []string{"zone-a", "zone-b", "zone-c"},
	})
	if err != nil {
		return nil, err
	}
	p.SetTeams(teams()...)
	p.Configure(routes(), statementTimeout)
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
	backup := p.Store.Backup()
	timer := time.AfterFunc(o.Duration/2, func() { inject(o.Fault, p, group, hosts, backup) })
	defer timer.Stop()
	wg.Wait()
	report.checkTeams(group.Executions())
	return report, nil
}

func routes() []lineplatform.Route {
	base := lineplatform.Route{Service: service, StatementTimeout: statementTimeout, TargetLatency: targetLatency, Priority: 1, MaxStaleness: maxStaleness}
	primary, readYourWrites := base, base
	primary.Database, primary.Consistency = "submissions", "primary"
	readYourWrites.Database, readYourWrites.Consistency = "alerts", "read_your_writes"
	return []lineplatform.Route{primary, readYourWrites}
}

// startHosts starts the hosts and waits until they accept callers.
func startHosts(p *lineplatform.Platform, o Options) ([]*entry.Host, []string, error) {
	var hosts []*entry.Host
	var addresses []string
	for i := range o.Hosts {
		s, err := hostSettings(i)
		if err != nil {
			return hosts, nil, err
		}
		adapter := onplatform.NewAdapter(onplatform.Options{Host: s.Host, StoreAddress: p.Address(), PromotionAddress: p.Address(), Timeout: callTimeout})
		h, err := entry.Start(s, adapter, entry.Dial, o.Log)
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
	const pollInterval = 10 * time.Millisecond
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		if h.Ready() {
			return nil
		}
	}
	return fmt.Errorf("a host was not ready after %s", readyTimeout)
}

func hostSettings(i int) (entry.Settings, error) {
	zone := []string{"zone-a", "zone-b", "zone-c"}[i%3]
	s := entry.Settings{
		Host: fmt.Sprintf("host-%d", i+1), Topology: replicaset.Topology{Zone: zone},
		MaxSessions: maxSessions, Workers: workersPerHost, GracePeriod: stopGracePeriod, DrainTimeout: 2 * stopGracePeriod,
		QuotaTolerance: tolerance,
	}
	for _, field := range []*string{&s.CallerAddress, &s.ReadinessAddress, &s.PeerAddress} {
		address, err := loopback.FreeAddress()
		if err != nil {
			return s, err
		}
		*field = address
	}
	return s, nil
}

// restoreOutage is how long the store is unavailable while it is restored from the
// backup. After rewriteDelay the operator and the members write their data again.
const (
	restoreOutage = 300 * time.Millisecond
	rewriteDelay  = time.Second
)

func inject(f Fault, p *lineplatform.Platform, group *lineplatform.Group, hosts []*entry.Host, backup lineplatform.Backup) {
	primary := group.Primary()
	switch {
	case f == KeyRevoked:
		p.SetTeams(teamsWithRevokedKey()...)
		p.Configure(routes(), statementTimeout)
	case f == LimitLowered:
		p.SetTeams(teamsWithLoweredLimit()...)
		p.Configure(routes(), statementTimeout)
	case f == StoreOutage:
		p.Store.SetFailureMode(lineplatform.Unavailable)
	case f == StoreRestore:
		p.RestoreStore(backup, restoreOutage, rewriteDelay)
	case f == HostStop:
		hosts[0].Stop()
	case primary == nil:
		// The other faults need a primary.
	case f == PrimaryCrash:
		primary.Crash()
	case f == DrainPrimary:
		primary.Drain()
	}
}
