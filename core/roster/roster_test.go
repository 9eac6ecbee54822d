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

// TestRestoreMovesNoConnections replays a restore in which half of the leases have
// run out: the picture of the fleet is the same before, during and after it.
func TestRestoreMovesNoConnections(t *testing.T) {
	const hosts = 74
	r := roster.New()
	var all, copied []roster.Registration
	for n := range hosts {
		name := fmt.Sprint("host-", n)
		all = append(all, reg(name, 1))
		if n%2 == 0 {
			copied = append(copied, reg(name, 1))
		}
	}
	r.Replace(all, 1, time.Second)
	before := names(r)
	r.Replace(copied, 2, 20*time.Second)
	require.Equal(t, before, names(r))
	r.Remove("host-0", 21*time.Second)
	require.Equal(t, before, names(r), "a lease that runs out in the copy")
	for _, old := range all {
		r.Put(reg(old.Host.Name, 2), 23*time.Second)
		require.Equal(t, before, names(r))
	}
	require.False(t, r.Expire(time.Hour))
	require.Equal(t, before, names(r))
}

// TestLargeFleetHasTimeToRegisterAgain: a store that takes 1,200 writes a second needs
// eight seconds for the two of each of 5,000 hosts.
func TestLargeFleetHasTimeToRegisterAgain(t *testing.T) {
	const hosts, writesPerSecond = 5000, 1200
	require.LessOrEqual(t, 2*hosts/roster.RegisterWithin(hosts).Seconds(), float64(writesPerSecond)/2, "the store has other callers")
	r := roster.New()
	var all []roster.Registration
	for n := range hosts {
		all = append(all, reg(fmt.Sprint("host-", n), 1))
	}
	r.Replace(all, 1, time.Second)
	r.Replace(nil, 2, 20*time.Second)
	require.False(t, r.Expire(20*time.Second+roster.RegisterWithin(hosts)))
	require.Equal(t, hosts, r.Len())
	require.True(t, r.Expire(20*time.Second+2*roster.RegisterWithin(hosts)))
}

// TestHostLostInARestoreIsDropped: it does not register again.
func TestHostLostInARestoreIsDropped(t *testing.T) {
	r := roster.New()
	r.Replace([]roster.Registration{reg("a", 1), reg("b", 1)}, 1, time.Second)
	r.Replace([]roster.Registration{reg("a", 1)}, 2, 20*time.Second)
	r.Put(reg("a", 2), 21*time.Second)
	require.False(t, r.Expire(20*time.Second+roster.Carry-1))
	require.Equal(t, []string{"a", "b"}, names(r))
	require.True(t, r.Carries())
	require.True(t, r.Expire(20*time.Second+roster.Carry))
	require.Equal(t, []string{"a"}, names(r))
	require.False(t, r.Carries())
}

// TestHostThatLeftIsNotBroughtBackByACopy: others would send it statements.
func TestHostThatLeftIsNotBroughtBackByACopy(t *testing.T) {
	r := roster.New()
	r.Replace([]roster.Registration{reg("a", 1), reg("b", 1)}, 1, time.Second)
	r.Remove("b", 15*time.Second)
	r.Replace([]roster.Registration{reg("a", 1), reg("b", 1)}, 2, 20*time.Second)
	require.Equal(t, []string{"a"}, names(r))
	r.Put(reg("b", 2), 25*time.Second)
	require.Equal(t, []string{"a", "b"}, names(r), "it has started again")
}

// TestRegistrationOfAnEarlierEpochDoesNotStand: it was written late, under a lease
// whose number is another host's by now.
func TestRegistrationOfAnEarlierEpochDoesNotStand(t *testing.T) {
	r := roster.New()
	r.Replace([]roster.Registration{reg("a", 2)}, 2, time.Second)
	r.Put(reg("ghost", 1), 2*time.Second)
	r.Put(reg("a", 1), 2*time.Second)
	require.True(t, r.Registered("a"))
	require.False(t, r.Registered("ghost"))
	require.True(t, r.Expire(2*time.Second+roster.Carry))
	require.Equal(t, []string{"a"}, names(r))
	r.Replace([]roster.Registration{reg("a", 2), reg("ghost", 1)}, 2, 20*time.Second)
	require.Equal(t, []string{"a"}, names(r))
}

// TestListingAgainDoesNotExtendWhatIsCarried: a store that drops its history often
// is listed often.
func TestListingAgainDoesNotExtendWhatIsCarried(t *testing.T) {
	r := roster.New()
	r.Replace([]roster.Registration{reg("a", 1), reg("b", 1)}, 1, time.Second)
	for at := time.Duration(0); at < roster.Carry; at += time.Second {
		r.Replace([]roster.Registration{reg("a", 1)}, 2, 20*time.Second+at)
	}
	require.True(t, r.Expire(20*time.Second+roster.Carry))
	require.Empty(t, names(r))
}

func TestHostThatStartsTakesTheFleetOfACopy(t *testing.T) {
	r := roster.New()
	r.Replace([]roster.Registration{reg("a", 1), reg("b", 2)}, 2, time.Second)
	require.Equal(t, []string{"a", "b"}, names(r))
	require.Equal(t, 2, r.Len())
	r.Expire(time.Second + roster.Carry)
	require.Equal(t, []string{"b"}, names(r))
}

func TestNewestConfigurationThatAHostNamed(t *testing.T) {
	r := roster.New()
	a, b := reg("a", 1), reg("b", 2)
	a.ConfigVersion, b.ConfigVersion = 23, 20
	r.Replace([]roster.Registration{a, b}, 2, time.Second)
	require.EqualValues(t, 23, r.ConfigVersion())
	require.True(t, r.MayKnowNewer(20))
	rng := rand.New(rand.NewPCG(1, 1))
	require.Equal(t, []gates.Host{a.Host}, r.LikelyNewest(1, rng))
	r.Expire(time.Second + roster.Carry)
	r.Replace([]roster.Registration{b}, 2, 20*time.Second)
	require.False(t, r.MayKnowNewer(20))
	require.Len(t, r.LikelyNewest(3, rng), 1)
}

// TestFleetThatStartsAsksManyHosts: no host is asked by all the others.
func TestFleetThatStartsAsksManyHosts(t *testing.T) {
	const hosts = 300
	r := roster.New()
	var all []roster.Registration
	for n := range hosts {
		all = append(all, reg(fmt.Sprint("host-", n), 1))
	}
	r.Replace(all, 1, time.Second)
	asked := map[string]int{}
	rng := rand.New(rand.NewPCG(1, 2))
	for range hosts {
		for _, h := range r.LikelyNewest(4, rng) {
			asked[h.Name]++
		}
	}
	for name, times := range asked {
		require.LessOrEqual(t, times, 20, name)
	}
}

// TestLivingHostsAreNeverMissing: whatever a store that returns from copies shows, a
// host that registers again within half of Carry stays in the picture.
func TestLivingHostsAreNeverMissing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := roster.New()
		living := []string{"a", "b", "c"}
		epoch := store.Epoch(1)
		now := time.Second
		var all []roster.Registration
		for _, n := range living {
			all = append(all, reg(n, epoch))
		}
		r.Replace(all, epoch, now)
		for range rapid.IntRange(1, 6).Draw(t, "restores") {
			copyEpoch := epoch
			epoch++
			now += time.Duration(rapid.IntRange(1, 5).Draw(t, "until the restore")) * time.Second
			var copied []roster.Registration
			for _, n := range living {
				if rapid.Bool().Draw(t, "in the copy") {
					copied = append(copied, reg(n, copyEpoch))
				}
			}
			r.Replace(copied, epoch, now)
			for _, n := range living {
				now += time.Duration(rapid.IntRange(0, 900).Draw(t, "until it registers")) * time.Millisecond
				if rapid.Bool().Draw(t, "its lease runs out before") {
					r.Remove(n, now)
				}
				r.Expire(now)
				require.Equal(t, living, names(r))
				r.Put(reg(n, epoch), now)
			}
		}
	})
}
