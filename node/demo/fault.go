package demo

import (
	"context"
	"fmt"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/conf"
	"github.com/dotterelswitch/dotterelswitch/node/confstore"
	"github.com/dotterelswitch/dotterelswitch/node/consul"
	"github.com/dotterelswitch/dotterelswitch/standin/dbgroup"
	"github.com/dotterelswitch/dotterelswitch/standin/workload"
)

// Fault is a failure or planned operation that a demo injects.
type Fault string

// The faults.
const (
	FaultNone             Fault = "none"
	FaultPrimaryCrash     Fault = "primary-crash"
	FaultPrimaryPartition Fault = "primary-partition"
	FaultHostKill         Fault = "host-kill"
	FaultStoreOutage      Fault = "store-outage"
	FaultAZCut            Fault = "az-cut"
	// FaultRollingRestart stops and restarts the hosts as planned, one after the other.
	FaultRollingRestart Fault = "rolling-restart"
	// FaultDrainPrimary declares a drain of a primary.
	FaultDrainPrimary Fault = "drain-primary"
)

func AllFaults() []Fault {
	return []Fault{FaultNone, FaultPrimaryCrash, FaultPrimaryPartition, FaultHostKill, FaultStoreOutage, FaultAZCut, FaultRollingRestart, FaultDrainPrimary}
}

// FaultError reports an unknown fault name.
type FaultError struct{ Name string }

func (e *FaultError) Error() string {
	return fmt.Sprintf("fault %q is not known; allowed are %v, or several joined by +", e.Name, AllFaults())
}

// ParseFaults parses one fault or several joined by a plus sign.
func ParseFaults(text string) ([]Fault, error) {
	var out []Fault
	for name := range strings.SplitSeq(text, "+") {
		f := Fault(name)
		if !slices.Contains(AllFaults(), f) {
			return nil, &FaultError{Name: name}
		}
		out = append(out, f)
	}
	return out, nil
}

func faultNames(faults []Fault) string {
	names := make([]string, 0, len(faults))
	for _, f := range faults {
		names = append(names, string(f))
	}
	return strings.Join(names, "+")
}

// The start and end of faults, as fractions of the run's duration.
const (
	faultStartFraction = 0.25
	faultEndFraction   = 0.6
)

// inject starts all faults together and later reverts those that can be reverted.
func (d *demo) inject(ctx context.Context, l *workload.Load) {
	if sleep(ctx, time.Duration(faultStartFraction*float64(d.opts.Duration))) != nil {
		return
	}
	var reverts []func()
	for _, f := range d.opts.Faults {
		d.progressf("fault: %s", f)
		if revert := d.startFault(ctx, f, l); revert != nil {
			reverts = append(reverts, revert)
		}
	}
	if sleep(ctx, time.Duration((faultEndFraction-faultStartFraction)*float64(d.opts.Duration))) != nil {
		return
	}
	for _, revert := range reverts {
		revert()
	}
	if len(reverts) > 0 {
		d.progressf("faults end")
	}
}

// startFault starts a fault and returns the function that reverts it, or nil.
func (d *demo) startFault(ctx context.Context, f Fault, l *workload.Load) func() {
	switch f {
	case FaultPrimaryCrash:
		return d.crashPrimary(l)
	case FaultPrimaryPartition:
		return d.partitionPrimary(l)
	case FaultHostKill:
		d.killHost()
	case FaultStoreOutage:
		d.deployment.Platform.SetOutage(true)
		return func() { d.deployment.Platform.SetOutage(false) }
	case FaultAZCut:
		return d.cutZone(l)
	case FaultRollingRestart:
		d.rollingRestart(ctx)
	case FaultDrainPrimary:
		return d.drainPrimary(ctx)
	}
	return nil
}

func (d *demo) crashPrimary(l *workload.Load) func() {
	g := d.deployment.Groups[0]
	m := g.Primary()
	if m == nil {
		return nil
	}
	l.RecordPrimaryFailure(g.Name())
	m.Crash()
	return func() { _ = m.Restart() }
}

// partitionPrimary disconnects the primary from all availability zones.
func (d *demo) partitionPrimary(l *workload.Load) func() {
	g := d.deployment.Groups[0]
	m := g.Primary()
	if m == nil {
		return nil
	}
	l.RecordPrimaryFailure(g.Name())
	for _, z := range d.spec.Zones {
		d.deployment.Network.Partition(m.Addr(), z.Name)
	}
	return func() {
		for _, z := range d.spec.Zones {
			d.deployment.Network.Heal(m.Addr(), z.Name)
		}
	}
}

// killHost stops the first host without a graceful shutdown.
func (d *demo) killHost() {
	h := d.hosts[0]
	h.stopped = true
	h.host.Kill()
}

// cutZone disconnects the zone of the first group's primary from the other zones.
// Every service whose primary is in that zone fails over.
func (d *demo) cutZone(l *workload.Load) func() {
	m := d.deployment.Groups[0].Primary()
	if m == nil {
		return nil
	}
	zone := m.Zone()
	for _, g := range d.deployment.Groups {
		if primaryInZone(g, zone) {
			l.RecordPrimaryFailure(g.Name())
		}
	}
	d.deployment.Network.Isolate(zone, true)
	return func() { d.deployment.Network.Isolate(zone, false) }
}

func primaryInZone(g *dbgroup.Group, zone string) bool {
	p := g.Primary()
	return p != nil && p.Zone() == zone
}

// drainPrimary declares a drain of the first group's primary.
func (d *demo) drainPrimary(ctx context.Context) func() {
	g := d.deployment.Groups[0]
	m := g.Primary()
	if m == nil {
		return nil
	}
	drain := []conf.Drain{{Kind: conf.DrainUpstream, Name: m.Name()}}
	if err := d.submitChange(ctx, "drain", conf.Items{Drains: drain}, conf.Names{}); err != nil {
		d.progressf("  the drain was not accepted: %v", err)
	}
	return func() {
		if err := d.submitChange(ctx, "undrain", conf.Items{}, conf.Names{Drains: drain}); err != nil {
			d.progressf("  the end of the drain was not accepted: %v", err)
		}
	}
}

// submitChange submits a change of the configuration.
func (d *demo) submitChange(ctx context.Context, id string, put conf.Items, del conf.Names) error {
	client := consul.NewClient(d.deployment.Platform.Addr(), (&net.Dialer{}).DialContext)
	_, err := confstore.New(client).Submit(ctx, id, func(*conf.Config) (conf.Items, conf.Names, error) {
		return put, del, nil
	})
	return err
}
