package registry

import (
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/dotterelswitch/dotterelswitch/standin/simtime"
)

const (
	// awayHostsSchedules is the number of times that each case is played.
	awayHostsSchedules = 8
	// ignoredHostsSchedules is the same for hosts that the store ignores, where the time of
	// the last answers decides.
	ignoredHostsSchedules = 64
	// awayHostsShifts is the number of different times of the outage.
	awayHostsShifts = 32
)

// playAwayHosts starts a fleet, lets disturb cut some hosts off from the store, and checks
// that the version which it writes is active on all hosts within the bound. It starts to
// count when disturb returns.
func playAwayHosts(t *testing.T, b simulatedBounds, schedules uint64, disturb func(f *simulatedFleet, version uint64)) {
	t.Helper()
	for seed := range schedules {
		t.Run(fmt.Sprintf("%d_hosts_%d", b.hosts, seed), func(t *testing.T) {
			simtime.Test(t, func(t *testing.T) {
				const first, changed = 2, 4
				f := newSimulatedFleet(b.hosts, b.zones, b.maxApply, zerolog.Nop())
				defer f.stop()
				f.configure(first)
				for _, h := range f.hosts {
					h.start()
				}
				// Shifts the outage against the hosts' watches and polls.
				time.Sleep(simulatedLeadTime + time.Duration(seed%awayHostsShifts)*130*time.Millisecond)
				disturb(f, changed)
				time.Sleep(b.maxApply)
				for name, h := range f.hosts {
					if r, _ := h.process(); r.configVersion() != changed {
						t.Errorf("%s has version %d", name, r.configVersion())
					}
				}
			})
		})
	}
}

// turnAwayAllBut makes the store treat the calls of all but some hosts as in an outage.
func turnAwayAllBut(f *simulatedFleet, keep int, o outage) {
	for n := keep; n < len(f.hosts); n++ {
		f.hosts[fmt.Sprintf("host-%02d", n)].storePath.turnAway(o)
	}
}

// TestHostsThatStoreRefusesHaveConfigurationInTime guards against a search among peers
// that has no bound: one host reaches the store, and all others learn of a change from it
// or from each other.
func TestHostsThatStoreRefusesHaveConfigurationInTime(t *testing.T) {
	for _, b := range []simulatedBounds{smallFleet, relayFleet, largerFleet} {
		playAwayHosts(t, b, awayHostsSchedules, func(f *simulatedFleet, version uint64) {
			turnAwayAllBut(f, 1, refusingOutage)
			time.Sleep(2 * time.Second)
			f.configure(version)
		})
	}
}

// TestHostsThatStoreIgnoresHaveConfigurationInTime is the same for a store that stops to
// answer these hosts at the moment of the change, in a fleet without relays.
func TestHostsThatStoreIgnoresHaveConfigurationInTime(t *testing.T) {
	playAwayHosts(t, smallFleet, ignoredHostsSchedules, ignoreAllButOne)
}

// TestHostsWithRelaysThatStoreIgnoresHaveConfigurationInTime is the same for fleets with
// relays, which learn later that the store does not answer.
func TestHostsWithRelaysThatStoreIgnoresHaveConfigurationInTime(t *testing.T) {
	for _, b := range []simulatedBounds{relayFleet, largerFleet} {
		playAwayHosts(t, b, ignoredHostsSchedules, ignoreAllButOne)
	}
}

// ignoreAllButOne lets the store answer one host alone, and changes the configuration.
func ignoreAllButOne(f *simulatedFleet, version uint64) {
	turnAwayAllBut(f, 1, silentOutage)
	f.configure(version)
}

// TestHostsBackFromCutHaveConfigurationWithoutStore guards against hosts that keep a newer
// configuration from others because they have lost the store themselves.
func TestHostsBackFromCutHaveConfigurationWithoutStore(t *testing.T) {
	for _, b := range []simulatedBounds{smallFleet, relayFleet, largerFleet} {
		playAwayHosts(t, b, awayHostsSchedules, func(f *simulatedFleet, version uint64) {
			setCut := func(cut bool) {
				for n := range b.hosts / 3 {
					h := f.hosts[fmt.Sprintf("host-%02d", n)]
					h.storePath.setCut(cut)
					h.peerPath.setCut(cut)
				}
			}
			setCut(true)
			f.configure(version)
			time.Sleep(4 * time.Second)
			f.store.begin(silentOutage)
			time.Sleep(300 * time.Millisecond)
			setCut(false)
		})
	}
}
