// Package demo runs a whole deployment in one process: stand-ins, hosts with
// real listeners, load and a fault, and reports what the callers saw.
package demo

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/dotterelswitch/dotterelswitch/core/conf"
	"github.com/dotterelswitch/dotterelswitch/node/confstore"
	"github.com/dotterelswitch/dotterelswitch/node/consul"
	"github.com/dotterelswitch/dotterelswitch/node/host"
	"github.com/dotterelswitch/dotterelswitch/node/settings"
	"github.com/dotterelswitch/dotterelswitch/standin/loopback"
	"github.com/dotterelswitch/dotterelswitch/standin/netem"
	"github.com/dotterelswitch/dotterelswitch/standin/workload"
)

// Options describe a demo.
type Options struct {
	Workload string
	Faults   []Fault
	Hosts    int
	Callers  int
	Duration time.Duration
	Seed     uint64
	// Progress takes lines for a person; it may be io.Discard.
	Progress io.Writer
	Log      zerolog.Logger
}

// entryHost is one host of the demo.
type entryHost struct {
	host     *host.Host
	settings settings.Settings
	dead     bool
}

// demo is a run in progress.
type demo struct {
	opts  Options
	spec  workload.Spec
	dep   *workload.Deployment
	hosts []*entryHost
	// restarts counts planned restarts.
	restarts int
}

// readyTimeout bounds the start of all hosts.
const readyTimeout = 20 * time.Second

// settleTime lets pools be taken and members be probed before load begins.
const settleTime = time.Second

// Run performs a demo and returns what was measured.
func Run(ctx context.Context, opts Options) (*workload.Report, error) {
	spec, err := workload.Get(opts.Workload)
	if err != nil {
		return nil, err
	}
	d := &demo{opts: opts, spec: spec}
	defer d.close()
	if err := d.start(ctx); err != nil {
		return nil, err
	}
	return d.load(ctx)
}

func (d *demo) sayf(format string, args ...any) {
	_, _ = fmt.Fprintf(d.opts.Progress, format+"\n", args...)
}

// start brings up the stand-ins, puts the configuration in place and starts
// the hosts.
func (d *demo) start(ctx context.Context) error {
	var err error
	if d.dep, err = workload.Deploy(d.spec); err != nil {
		return err
	}
	if err := Publish(ctx, d.dep.Platform.Addr(), d.dep.Items()); err != nil {
		return err
	}
	d.sayf("%s: %d services of %d members in %d availability zones", d.spec.Name, d.spec.Services, len(d.spec.Zones), len(d.spec.Zones))
	for i := range d.opts.Hosts {
		if err := d.startHost(i); err != nil {
			return err
		}
	}
	if err := d.awaitReady(ctx); err != nil {
		return err
	}
	d.sayf("%d hosts serve", len(d.hosts))
	return nil
}

// Publish makes items the first change of the log.
func Publish(ctx context.Context, address string, items conf.Items) error {
	client := consul.NewClient(address, (&net.Dialer{}).DialContext)
	_, err := confstore.New(client).Submit(ctx, "initial", func(*conf.Config) (conf.Items, conf.Names, error) {
		return items, conf.Names{}, nil
	})
	return err
}

func (d *demo) startHost(i int) error {
	zone := d.spec.Zone(i)
	s, err := loopbackSettings(fmt.Sprintf("host-%d", i+1), zone, d.dep.Platform.Addr())
	if err != nil {
		return err
	}
	d.dep.Network.SetZone(s.Listen, zone)
	d.dep.Network.SetZone(s.Peer, zone)
	h, err := d.launch(s)
	if err != nil {
		return err
	}
	d.hosts = append(d.hosts, &entryHost{host: h, settings: s})
	return nil
}

// launch starts a host in the emulated network.
func (d *demo) launch(s settings.Settings) (*host.Host, error) {
	dialer := &netem.Dialer{Network: d.dep.Network, From: s.Zone}
	return host.Start(host.Options{Settings: s, Dial: dialer.DialContext, ListenPacket: d.listenPacket(s.Zone), Log: d.opts.Log})
}

// listenPacket returns how a host in a zone opens its socket for datagrams.
func (d *demo) listenPacket(zone string) func(string) (net.PacketConn, error) {
	return func(address string) (net.PacketConn, error) {
		plain, err := net.ListenPacket("udp", address)
		if err != nil {
			return nil, err
		}
		return &netem.PacketConn{PacketConn: plain, Network: d.dep.Network, From: zone}, nil
	}
}

// loopbackSettings returns settings with free ports.
func loopbackSettings(id, zone, platformAddress string) (settings.Settings, error) {
	s := settings.Default()
	s.ID, s.Zone, s.Platform, s.PeerKey = id, zone, platformAddress, "demo"
	for _, target := range []*string{&s.Listen, &s.Peer, &s.Metrics} {
		address, err := loopback.FreeAddress()
		if err != nil {
			return s, err
		}
		*target = address
	}
	return s, s.Check()
}

func (d *demo) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		ready, owned := 0, 0
		for _, h := range d.hosts {
			if h.host.Ready() && h.host.KnownHosts() == len(d.hosts) {
				ready++
			}
			owned += len(h.host.Owned())
		}
		if ready == len(d.hosts) && owned == d.spec.Services*len(d.spec.Zones) {
			break
		}
		if err := wait(ctx, 20*time.Millisecond); err != nil {
			return fmt.Errorf("%d of %d hosts became ready and %d pools were held: %w", ready, len(d.hosts), owned, err)
		}
	}
	return wait(ctx, settleTime)
}

func wait(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// load drives the callers, injects the faults and collects the report.
func (d *demo) load(ctx context.Context) (*workload.Report, error) {
	l := workload.Start(ctx, workload.Options{
		Spec: d.spec, Entries: d.entries(), Callers: d.opts.Callers, Duration: d.opts.Duration,
		Seed: d.opts.Seed, Upstreams: d.dep.UpstreamAddresses(),
	})
	faultCtx, stop := context.WithCancel(ctx)
	defer stop()
	var wg sync.WaitGroup
	wg.Go(func() { d.inject(faultCtx, l) })
	wg.Go(func() { d.showProgress(faultCtx, l) })
	report, err := l.Wait(ctx)
	stop()
	wg.Wait()
	if err != nil {
		return nil, err
	}
	d.complete(report)
	return report, nil
}

func (d *demo) complete(r *workload.Report) {
	r.Hosts = len(d.hosts)
	r.Fault = faultNames(d.opts.Faults)
	r.SlotBreaches = d.dep.SlotBreaches()
	r.Restarts = d.restarts
	r.ConnectionsRefused = d.dep.ConnectionsRefused()
	r.StoreCalls, _ = d.dep.Platform.Calls()
	for _, h := range d.hosts {
		r.Promotions += h.host.Promotions()
	}
}

// entries returns the hosts' addresses for callers. A caller is in the zone of
// the host that it was sent to, as behind a balancer.
func (d *demo) entries() []workload.Entry {
	out := make([]workload.Entry, 0, len(d.hosts))
	for _, h := range d.hosts {
		dialer := &netem.Dialer{Network: d.dep.Network, From: h.settings.Zone, ExtraDelay: d.spec.CallerDelay}
		out = append(out, workload.Entry{Address: h.settings.Listen, Dial: dialer.DialContext})
	}
	return out
}

const progressInterval = 2 * time.Second

func (d *demo) showProgress(ctx context.Context, l *workload.Load) {
	for wait(ctx, progressInterval) == nil {
		v, c := l.Progress()
		d.sayf("  %6d reads, %5d writes acknowledged, %d refused, %d unknown, violations so far: %t",
			c.Reads, c.WritesAcked, c.RefusedNotRun, c.WritesUnknown, v.Any())
	}
}

func (d *demo) close() {
	for _, h := range d.hosts {
		if !h.dead {
			h.host.Kill()
		}
	}
	if d.dep != nil {
		d.dep.Close()
	}
}
