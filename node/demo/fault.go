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

// Fault names a failure that a demo injects.
type Fault string

// The faults.
const (
	FaultNone             Fault = "none"
	FaultPrimaryCrash     Fault = "primary-crash"
	FaultPrimaryPartition Fault = "primary-partition"
	FaultHostKill         Fault = "host-kill"
	FaultStoreOutage      Fault = "store-outage"
	FaultAZCut            Fault = "az-cut"
	// FaultRollingRestart is no failure: every host is stopped as planned and
	// started again, one after the other.
	FaultRollingRestart Fault = "rolling-restart"
	// FaultDrainPrimary is no failure either: a primary is declared to leave.
	FaultDrainPrimary Fault = "drain-primary"
)

// AllFaults lists the faults.
func AllFaults() []Fault {
	return []Fault{FaultNone, FaultPrimaryCrash, FaultPrimaryPartition, FaultHostKill, FaultStoreOutage, FaultAZCut, FaultRollingRestart, FaultDrainPrimary}
}

// FaultError reports a fault that does not exist.
type FaultError struct{ Name string }

func (e *FaultError) Error() string {
	return fmt.Sprintf("fault %q is not known; allowed are %v, or several joined by +", e.Name, AllFaults())
}

// ParseFaults reads one fault or several joined by a plus sign.
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

// Faults begin after a quarter of the run and end after three fifths of it.
const (
	faultStart = 0.25
	faultEnd   = 0.6
)

// inject starts every fault at once and ends those that can end.
func (d *demo) inject(ctx context.Context, l *workload.Load) {
	if wait(ctx, time.Duration(faultStart*float64(d.opts.Duration))) != nil {
		return
	}
	var undo []func()
	for _, f := range d.opts.Faults {
		d.sayf("fault: %s", f)
		if end := d.begin(ctx, f, l); end != nil {
			undo = append(undo, end)
		}
	}
	if wait(ctx, time.Duration((faultEnd-faultStart)*float64(d.opts.Duration))) != nil {
		return
	}
	for _, end := range undo {
		end()
	}
	if len(undo) > 0 {
		d.sayf("faults end")
	}
}

// begin starts a fault and returns what ends it, if anything does.
func (d *demo) begin(ctx context.Context, f Fault, l *workload.Load) func() {
	switch f {
	case FaultPrimaryCrash:
		return d.crashPrimary(l)
	case FaultPrimaryPartition:
		return d.partitionPrimary(l)
	case FaultHostKill:
		d.killHost()
	case FaultStoreOutage:
		d.dep.Platform.SetOutage(true)
		return func() { d.dep.Platform.SetOutage(false) }
	case FaultAZCut:
		return d.cutZone(l)
	case FaultRollingRestart:
		d.restartAll(ctx)
	case FaultDrainPrimary:
		return d.drainPrimary(ctx)
	}
	return nil
}

func (d *demo) crashPrimary(l *workload.Load) func() {
	g := d.dep.Groups[0]
	m := g.Primary()
	if m == nil {
		return nil
	}
	l.RecordPrimaryFailure(g.Name())
	m.Crash()
	return func() { _ = m.Restart() }
}

// partitionPrimary cuts the primary's machine off from everything.
func (d *demo) partitionPrimary(l *workload.Load) func() {
	g := d.dep.Groups[0]
	m := g.Primary()
	if m == nil {
		return nil
	}
	l.RecordPrimaryFailure(g.Name())
	for _, z := range d.spec.Zones {
		d.dep.Network.Partition(m.Addr(), z.Name)
	}
	return func() {
		for _, z := range d.spec.Zones {
			d.dep.Network.Heal(m.Addr(), z.Name)
		}
	}
}

// killHost ends the first host, without a word to anyone.
func (d *demo) killHost() {
	h := d.hosts[0]
	h.dead = true
	h.host.Kill()
}

// cutZone cuts the zone of the first group's primary off from the others. The
// services whose primary is there get a new one.
func (d *demo) cutZone(l *workload.Load) func() {
	m := d.dep.Groups[0].Primary()
	if m == nil {
		return nil
	}
	zone := m.Zone()
	for _, g := range d.dep.Groups {
		if inZone(g, zone) {
			l.RecordPrimaryFailure(g.Name())
		}
	}
	d.dep.Network.Isolate(zone, true)
	return func() { d.dep.Network.Isolate(zone, false) }
}

func inZone(g *dbgroup.Group, zone string) bool {
	p := g.Primary()
	return p != nil && p.Zone() == zone
}

// drainPrimary declares that the first group's primary leaves.
func (d *demo) drainPrimary(ctx context.Context) func() {
	g := d.dep.Groups[0]
	m := g.Primary()
	if m == nil {
		return nil
	}
	drain := []conf.Drain{{Kind: conf.DrainUpstream, Name: m.Name()}}
	if err := d.change(ctx, "drain", conf.Items{Drains: drain}, conf.Names{}); err != nil {
		d.sayf("  the drain was not accepted: %v", err)
	}
	return func() {
		if err := d.change(ctx, "undrain", conf.Items{}, conf.Names{Drains: drain}); err != nil {
			d.sayf("  the end of the drain was not accepted: %v", err)
		}
	}
}

// change submits a change of the configuration.
func (d *demo) change(ctx context.Context, id string, put conf.Items, del conf.Names) error {
	client := consul.NewClient(d.dep.Platform.Addr(), (&net.Dialer{}).DialContext)
	_, err := confstore.New(client).Submit(ctx, id, func(*conf.Config) (conf.Items, conf.Names, error) {
		return put, del, nil
	})
	return err
}
