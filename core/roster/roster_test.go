package roster_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dotterelswitch/dotterelswitch/core/gates"
	"github.com/dotterelswitch/dotterelswitch/core/roster"
	"github.com/dotterelswitch/dotterelswitch/core/store"
)

func reg(name string, epoch store.Epoch) roster.Registration {
	return roster.Registration{Host: gates.Host{Name: name}, Epoch: epoch}
}

func names(r *roster.Roster) []string {
	var out []string
	for _, h := range r.Hosts() {
		out = append(out, h.Name)
	}
	slices.Sort(out)
	return out
}

// TestRestoreDoesNotChangeTheHosts restores a backup in which half of the leases have
// expired: the hosts must stay the same before, during and after the restore.
func TestRestoreDoesNotChangeTheHosts(t *testing.T) {
	const hosts = 74
	r := roster.New()
	var all, restored []roster.Registration
	for n := range hosts {
		name := fmt.Sprint("host-", n)
		all = append(all, reg(name, 1))
		if n%2 == 0 {
			restored = append(restored, reg(name, 1))
		}
	}
	r.Replace(all, 1, time.Second)
	before := names(r)
	r.Replace(restored, 2, 20*time.Second)
	require.Equal(t, before, names(r))
	r.Remove("host-0", 21*time.Second)
	require.Equal(t, before, names(r), "a lease that expires in the restored store")
	for _, old := range all {
		r.Put(reg(old.Host.Name, 2), 23*time.Second)
		require.Equal(t, before, names(r))
	}
	require.False(t, r.Expire(time.Hour))
	require.Equal(t, before, names(r))
}

// TestLargeFleetHasTimeToReregister checks that 5,000 hosts with two writes each can
// register again at a store that accepts 1,200 writes a second.
func TestLargeFleetHasTimeToReregister(t *testing.T) {
	const hosts, writesPerSecond = 5000, 1200
	require.LessOrEqual(t, 2*hosts/roster.ReregistrationSpread(hosts).Seconds(), float64(writesPerSecond)/2, "the store has other callers")
	r := roster.New()
	var all []roster.Registration
	for n := range hosts {
		all = append(all, reg(fmt.Sprint("host-", n), 1))
	}
	r.Replace(all, 1, time.Second)
	r.Replace(nil, 2, 20*time.Second)
	require.False(t, r.Expire(20*time.Second+roster.ReregistrationSpread(hosts)))
	require.Equal(t, hosts, r.Len())
	require.True(t, r.Expire(20*time.Second+2*roster.ReregistrationSpread(hosts)))
}

// TestHostLostInARestoreIsDropped covers a host that does not register again after a
// restore.
func TestHostLostInARestoreIsDropped(t *testing.T) {
	r := roster.New()
	r.Replace([]roster.Registration{reg("a", 1), reg("b", 1)}, 1, time.Second)
	r.Replace([]roster.Registration{reg("a", 1)}, 2, 20*time.Second)
	r.Put(reg("a", 2), 21*time.Second)
	require.False(t, r.Expire(20*time.Second+roster.MinCarryOver-1))
	require.Equal(t, []string{"a", "b"}, names(r))
	require.True(t, r.HasCarriedOver())
	require.True(t, r.Expire(20*time.Second+roster.MinCarryOver))
	require.Equal(t, []string{"a"}, names(r))
	require.False(t, r.HasCarriedOver())
}

// TestRestoreDoesNotReviveDepartedHost guards against routing statements to a host that
// left after the backup was made.
func TestRestoreDoesNotReviveDepartedHost(t *testing.T) {
	r := roster.New()
	r.Replace([]roster.Registration{reg("a", 1), reg("b", 1)}, 1, time.Second)
	r.Remove("b", 15*time.Second)
	r.Replace([]roster.Registration{reg("a", 1), reg("b", 1)}, 2, 20*time.Second)
	require.Equal(t, []string{"a"}, names(r))
	r.Put(reg("b", 2), 25*time.Second)
	require.Equal(t, []string{"a", "b"}, names(r), "the host has restarted")
}

// TestRegistrationOfEarlierEpochExpires covers a delayed write of an earlier epoch,
// under a lease ID that may belong to another host by now.
func TestRegistrationOfEarlierEpochExpires(t *testing.T) {
	r := roster.New()
	r.Replace([]roster.Registration{reg("a", 2)}, 2, time.Second)
	r.Put(reg("stale", 1), 2*time.Second)
	r.Put(reg("a", 1), 2*time.Second)
	require.True(t, r.Registered("a"))
	require.False(t, r.Registered("stale"))
	require.True(t, r.Expire(2*time.Second+roster.MinCarryOver))
	require.Equal(t, []string{"a"}, names(r))
	r.Replace([]roster.Registration{reg("a", 2), reg("stale", 1)}, 2, 20*time.Second)
	require.Equal(t, []string{"a"}, names(r))
}

// TestRelistingDoesNotExtendCarryOver covers a store that compacts its history often,
// so that hosts list it often.
func TestRelistingDoesNotExtendCarryOver(t *testing.T) {
	r := roster.New()
	r.Replace([]roster.Registration{reg("a", 1), reg("b", 1)}, 1, time.Second)
	for at := time.Duration(0); at < roster.MinCarryOver; at += time.Second {
		r.Replace([]roster.Registration{reg("a", 1)}, 2, 20*time.Second+at)
	}
	require.True(t, r.Expire(20*time.Second+roster.MinCarryOver))
	require.Empty(t, names(r))
}

func TestStartingHostAcceptsRestoredRegistrations(t *testing.T) {
	r := roster.New()
	r.Replace([]roster.Registration{reg("a", 1), reg("b", 2)}, 2, time.Second)
	require.Equal(t, []string{"a", "b"}, names(r))
	require.Equal(t, 2, r.Len())
	r.Expire(time.Second + roster.MinCarryOver)
	require.Equal(t, []string{"b"}, names(r))
}

func TestNewestRegisteredConfigVersion(t *testing.T) {
	r := roster.New()
	a, b := reg("a", 1), reg("b", 2)
	a.ConfigVersion, b.ConfigVersion = 23, 20
	r.Replace([]roster.Registration{a, b}, 2, time.Second)
	require.EqualValues(t, 23, r.ConfigVersion())
	require.True(t, r.MayHaveNewerConfig(20))
	rng := rand.New(rand.NewPCG(1, 1))
	require.Equal(t, []gates.Host{a.Host}, r.HostsWithNewestConfig(1, rng))
	r.Expire(time.Second + roster.MinCarryOver)
	r.Replace([]roster.Registration{b}, 2, 20*time.Second)
	require.False(t, r.MayHaveNewerConfig(20))
	require.Len(t, r.HostsWithNewestConfig(3, rng), 1)
}

// TestHostsWithNewestConfigAreChosenEvenly guards against one host receiving the
// requests of all others when a fleet starts.
func TestHostsWithNewestConfigAreChosenEvenly(t *testing.T) {
	const hosts = 300
	r := roster.New()
	var all []roster.Registration
	for n := range hosts {
		all = append(all, reg(fmt.Sprint("host-", n), 1))
	}
	r.Replace(all, 1, time.Second)
	timesChosen := map[string]int{}
	rng := rand.New(rand.NewPCG(1, 2))
	for range hosts {
		for _, h := range r.HostsWithNewestConfig(4, rng) {
			timesChosen[h.Name]++
		}
	}
	for name, times := range timesChosen {
		require.LessOrEqual(t, times, 20, name)
	}
}

// TestLiveHostsAreNeverDropped simulates repeated restores: a host that registers again
// within half of MinCarryOver stays in the roster.
func TestLiveHostsAreNeverDropped(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := roster.New()
		live := []string{"a", "b", "c"}
		epoch := store.Epoch(1)
		now := time.Second
		var all []roster.Registration
		for _, n := range live {
			all = append(all, reg(n, epoch))
		}
		r.Replace(all, epoch, now)
		for range rapid.IntRange(1, 6).Draw(t, "restores") {
			restoredEpoch := epoch
			epoch++
			now += time.Duration(rapid.IntRange(1, 5).Draw(t, "time until the restore")) * time.Second
			var restored []roster.Registration
			for _, n := range live {
				if rapid.Bool().Draw(t, "in the backup") {
					restored = append(restored, reg(n, restoredEpoch))
				}
			}
			r.Replace(restored, epoch, now)
			for _, n := range live {
				now += time.Duration(rapid.IntRange(0, 900).Draw(t, "time until it registers")) * time.Millisecond
				if rapid.Bool().Draw(t, "its lease expires before") {
					r.Remove(n, now)
				}
				r.Expire(now)
				require.Equal(t, live, names(r))
				r.Put(reg(n, epoch), now)
			}
		}
	})
}
