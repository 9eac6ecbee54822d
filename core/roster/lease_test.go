package roster_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/roster"
)

// TestRenewalsDoNotGrowWithTheFleet guards against calls to the store that grow with the
// hosts, from 300 hosts on and up to 1,000.
func TestRenewalsDoNotGrowWithTheFleet(t *testing.T) {
	require.Equal(t, 6*time.Second, roster.LeaseTTL(0), "unknown size")
	require.Equal(t, 6*time.Second, roster.LeaseTTL(300))
	for hosts := 300; hosts <= 1000; hosts += 50 {
		perSecond := float64(hosts) / roster.RenewalInterval(roster.LeaseTTL(hosts)).Seconds()
		require.InDelta(t, 100, perSecond, 1)
	}
	require.Equal(t, 20*time.Second, roster.LeaseTTL(5000))
}

// TestHostsThatStartTogetherDoNotRenewTogether starts a fleet within 100 ms. Renewals in
// one second must stay below what the smallest known store accepts, 3,200 writes.
func TestHostsThatStartTogetherDoNotRenewTogether(t *testing.T) {
	const hosts, start = 5000, 100 * time.Millisecond
	ttl := roster.LeaseTTL(hosts)
	rng := rand.New(rand.NewPCG(1, 1))
	renewals := map[int]int{}
	for range hosts {
		at := time.Duration(rng.Int64N(int64(start)))
		at += roster.FirstRenewalDelay(ttl, rng)
		for ; at < time.Minute; at += roster.RenewalInterval(ttl) {
			renewals[int(at/time.Second)]++
		}
	}
	busiest := 0
	for _, n := range renewals {
		busiest = max(busiest, n)
	}
	require.Less(t, busiest, 3200/2)
}
