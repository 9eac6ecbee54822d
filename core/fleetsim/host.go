package fleetsim

import (
	"fmt"
	"slices"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/bootstrap"
	"github.com/dotterelswitch/dotterelswitch/core/gates"
	"github.com/dotterelswitch/dotterelswitch/core/peerpoll"
	"github.com/dotterelswitch/dotterelswitch/core/relay"
	"github.com/dotterelswitch/dotterelswitch/core/roster"
	"github.com/dotterelswitch/dotterelswitch/core/storelink"
)

const (
	// One host in hostsPerLargeHost is large. The others have a small share of a core and
	// a slow link, as agents on machines that do other work.
	hostsPerLargeHost = 16
	largeMilliCores   = 1600
	largeLinkMbps     = 1000
	smallMilliCores   = 192
	smallLinkMbps     = 20
	// decodedBytesPerSecond is what one core decodes.
	decodedBytesPerSecond = 20e6
	// configCompression is the ratio by which a relay compresses a configuration, most of
	// which are similar routes.
	configCompression = 8
	// copyCompression is the ratio by which a source compresses the rest of its copy.
	copyCompression = 3
	// progressBytes is the size of a datagram that asks or tells what a host knows.
	progressBytes = 60
)

// host is a host of a simulated fleet.
type host struct {
	*simulation
	port
	index int
	self  gates.Host
	// process counts the starts; running is false between a kill and the next start.
	process int
	running bool
	// dead is set for a host that does not start again.
	dead bool
	link *storelink.Link
	// pacer admits the copies that the host sends as a source.
	pacer   *bootstrap.Pacer
	chooser *relay.Selector
	pacing  storelink.Pacing
	// revision is that of the local copy, config the version of the configuration in force.
	revision, config int
	// polledRevision is the newest revision of which another host has sent the changes.
	polledRevision int
	sweep          *peerpoll.Sweep
	// restarted is set for a host that the fault has stopped.
	restarted bool
	followers []*follower
	// failures counts the consecutive failed calls for changes.
	failures int
	renewals roster.RenewalSchedule
	leaseTTL time.Duration
	// registrations counts the attempts to register; a later one replaces the renewals of
	// the earlier ones.
	registrations int
	// idleConns are the open connections to the store that no call uses.
	idleConns int
	// decodedAt is when the processor has decoded all that has arrived.
	decodedAt time.Duration
}

// follower is a host that receives changes from a relay.
type follower struct {
	*host
	process int
	// sent is the revision up to which changes were sent to it.
	sent int
}

func newHost(s *simulation, index int) *host {
	zone := index % s.options.Zones
	h := &host{simulation: s, index: index, self: gates.Host{
		Name: fmt.Sprintf("host-%04d", index), Zone: fmt.Sprint("zone-", zone), MilliCores: smallMilliCores, LinkMbps: smallLinkMbps,
	}}
	if index/s.options.Zones%hostsPerLargeHost == 0 {
		h.self.MilliCores, h.self.LinkMbps = largeMilliCores, largeLinkMbps
	}
	h.port = port{zone: zone, bytesPerSecond: bytesPerSecond(h.self.LinkMbps)}
	return h
}

// start starts a new process, which knows nothing.
func (h *host) start() {
	h.process++
	h.running = true
	h.link, h.chooser, h.pacing = storelink.New(), relay.New(h.self), storelink.NewPacing(h.options.ConfigApplyTime)
	h.revision, h.config, h.polledRevision, h.failures, h.followers = 0, 0, 0, 0, nil
	h.pacer = bootstrap.NewPacer(h.self.LinkMbps)
	h.sweep = peerpoll.NewSweep(h.self.Name)
	h.renewals, h.leaseTTL, h.idleConns = roster.RenewalSchedule{}, roster.LeaseTTL(0), 0
	h.outFree, h.inFree, h.decodedAt = h.now, h.now, h.now
	h.register()
	h.synchronize()
	h.after(relay.HeartbeatInterval, h.ifRunning(h.heartbeat))
	h.after(h.jitter(storelink.PollInterval), h.ifRunning(h.poll))
}

// kill ends the process. Its followers learn of it from their connections.
func (h *host) kill() {
	h.running, h.restarted = false, true
	for _, f := range h.followers {
		h.after(latency(&h.port, &f.port), f.ifSameProcess(func() { f.relayLost(h, false) }))
	}
	h.followers = nil
}

// ifRunning returns f for the running process: it does nothing in a later one.
func (h *host) ifRunning(f func()) func() {
	process := h.process
	return func() {
		if h.running && h.process == process {
			f()
		}
	}
}

// ifSameProcess is ifRunning for the process that began to follow.
func (f *follower) ifSameProcess(run func()) func() {
	return func() {
		if f.running && f.host.process == f.process {
			run()
		}
	}
}

// decode calls f after the processor has decoded some bytes.
func (h *host) decode(bytes int, f func()) {
	seconds := float64(bytes) / decodedBytesPerSecond * 1000 / float64(h.self.MilliCores)
	h.decodedAt = max(h.decodedAt, h.now) + time.Duration(seconds*float64(time.Second))
	h.at(h.decodedAt, h.ifRunning(f))
}

// fleet returns the registered hosts that this host knows. The caller must not modify the
// slice.
func (h *host) fleet() []gates.Host {
	changes, _ := slices.BinarySearch(h.store.registrationChanges, h.revision+1)
	if known, found := h.fleets[changes]; found {
		return known
	}
	var out []gates.Host
	for _, other := range h.hosts {
		if h.store.registered(other.index, h.revision) {
			out = append(out, other.self)
		}
	}
	h.fleets[changes] = out
	return out
}

// role returns for whom this host watches the store.
func (h *host) role(fleet []gates.Host) storelink.Role {
	switch {
	case len(fleet) <= relay.MaxFleetWithoutRelays:
		return storelink.Alone
	case h.chooser.MayRelay(fleet):
		return storelink.Relay
	}
	return storelink.AwaitingRelay
}
