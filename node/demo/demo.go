// Package demo runs a complete deployment in one process: stand-ins, hosts with
// real listeners, load and faults. It reports what the callers observed.
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

// Options configure a demo.
type Options struct {
	Workload string
	Faults   []Fault
	Hosts    int
	Callers  int
	Duration time.Duration
	Seed     uint64
	// Progress receives human-readable status lines.
	Progress io.Writer
	Log      zerolog.Logger
}

type demoHost struct {
	host     *host.Host
	settings settings.Settings
	stopped  bool
}

// demo is a run in progress.
type demo struct {
	opts       Options
	spec       workload.Spec
	deployment *workload.Deployment
	hosts      []*demoHost
	// restarts counts hosts that were restarted as planned.
	restarts int
}

// readyTimeout bounds the start of all hosts.
const readyTimeout = 20 * time.Second

const readyPollInterval = 20 * time.Millisecond

// settleDelay leaves hosts time to probe members before the load starts.
const settleDelay = time.Second

// Run runs a demo and returns its measurements.
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
	return d.runLoad(ctx)
}

func (d *demo) progressf(format string, args ...any) {
	_, _ = fmt.Fprintf(d.opts.Progress, format+"\n", args...)
}

// start starts the stand-ins, publishes the configuration and starts the hosts.
func (d *demo) start(ctx context.Context) error {
	var err error
	if d.deployment, err = workload.Deploy(d.spec); err != nil {
		return err
	}
	if err := Publish(ctx, d.deployment.Platform.Addr(), d.deployment.Items()); err != nil {
		return err
	}
	d.progressf("%s: %d services of %d members in %d availability zones", d.spec.Name, d.spec.Services, len(d.spec.Zones), len(d.spec.Zones))
	for i := range d.opts.Hosts {
		if err := d.startHost(i); err != nil {
			return err
		}
	}
	if err := d.awaitReady(ctx); err != nil {
		return err
	}
	d.progressf("%d hosts serve", len(d.hosts))
	return nil
}

// Publish submits items as the first change of the configuration.
func Publish(ctx context.Context, address string, items conf.Items) error {
	client := consul.NewClient(address, (&net.Dialer{}).DialContext)
	_, err := confstore.New(client).Submit(ctx, "initial", func(*conf.Config) (conf.Items, conf.Names, error) {
		return items, conf.Names{}, nil
	})
	return err
}

func (d *demo) startHost(i int) error {
	zone := d.spec.Zone(i)
	s, err := loopbackSettings(fmt.Sprintf("host-%d", i+1), zone, d.deployment.Platform.Addr())
	if err != nil {
		return err
	}
	d.deployment.Network.SetZone(s.Listen, zone)
	d.deployment.Network.SetZone(s.Peer, zone)
	h, err := d.launchHost(s)
	if err != nil {
		return err
	}
	d.hosts = append(d.hosts, &demoHost{host: h, settings: s})
	return nil
}

// launchHost starts a host in the emulated network.
func (d *demo) launchHost(s settings.Settings) (*host.Host, error) {
	dialer := &netem.Dialer{Network: d.deployment.Network, From: s.Zone}
	return host.Start(host.Options{Settings: s, Dial: dialer.DialContext, ListenPacket: d.listenPacket(s.Zone), Log: d.opts.Log})
}

// listenPacket returns the function with which a host in a zone opens its UDP
// socket.
func (d *demo) listenPacket(zone string) func(string) (net.PacketConn, error) {
	return func(address string) (net.PacketConn, error) {
		conn, err := net.ListenPacket("udp", address)
		if err != nil {
			return nil, err
		}
		return &netem.PacketConn{PacketConn: conn, Network: d.deployment.Network, From: zone}, nil
	}
}

// loopbackSettings returns the settings of a host that listens on free loopback
// ports.
func loopbackSettings(id, zone, platformAddress string) (settings.Settings, error) {
	s := settings.Default()
	s.ID, s.Zone, s.Platform, s.PeerKey = id, zone, platformAddress, "demo"
	for _, field := range []*string{&s.Listen, &s.Peer, &s.Metrics} {
		address, err := loopback.FreeAddress()
		if err != nil {
			return s, err
		}
		*field = address
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
		if err := sleep(ctx, readyPollInterval); err != nil {
			return fmt.Errorf("%d of %d hosts became ready and %d pools were owned: %w", ready, len(d.hosts), owned, err)
		}
	}
	return sleep(ctx, settleDelay)
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// runLoad runs the callers, injects the faults and collects the report.
func (d *demo) runLoad(ctx context.Context) (*workload.Report, error) {
	l := workload.Start(ctx, workload.Options{
		Spec: d.spec, Entries: d.entries(), Callers: d.opts.Callers, Duration: d.opts.Duration,
		Seed: d.opts.Seed, Upstreams: d.deployment.UpstreamAddresses(),
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
	d.completeReport(report)
	return report, nil
}

func (d *demo) completeReport(r *workload.Report) {
	r.Hosts = len(d.hosts)
	r.Fault = faultNames(d.opts.Faults)
	r.SlotBreaches = d.deployment.SlotBreaches()
	r.Restarts = d.restarts
	r.ConnectionsRefused = d.deployment.ConnectionsRefused()
	r.StoreCalls, _ = d.deployment.Platform.Calls()
	for _, h := range d.hosts {
		r.Promotions += h.host.Promotions()
	}
}

// entries returns the hosts' addresses for callers. A caller is in the zone of its
// host, as behind a zone-aware load balancer.
func (d *demo) entries() []workload.Entry {
	out := make([]workload.Entry, 0, len(d.hosts))
	for _, h := range d.hosts {
		dialer := &netem.Dialer{Network: d.deployment.Network, From: h.settings.Zone, ExtraDelay: d.spec.CallerDelay}
		out = append(out, workload.Entry{Address: h.settings.Listen, Dial: dialer.DialContext})
	}
	return out
}

const progressInterval = 2 * time.Second

func (d *demo) showProgress(ctx context.Context, l *workload.Load) {
	for sleep(ctx, progressInterval) == nil {
		v, c := l.Progress()
		d.progressf("  %6d reads, %5d writes acknowledged, %d refused, %d unknown, violations so far: %t",
			c.Reads, c.WritesAcked, c.RefusedNotRun, c.WritesUnknown, v.Any())
	}
}

func (d *demo) close() {
	for _, h := range d.hosts {
		if !h.stopped {
			h.host.Kill()
		}
	}
	if d.deployment != nil {
		d.deployment.Close()
	}
}
