package registry

import (
	"math/rand/v2"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/roster"
	"github.com/dotterelswitch/dotterelswitch/core/store"
)

const (
	// renewRetry is the pause after a renewal that failed. With twice as long after
	// each, two more that are refused at once fit into what is left of the lease.
	renewRetry = 500 * time.Millisecond
	// maxRenewRetry bounds the pause once the lease has ended: a host that the store
	// turned away is back within it.
	maxRenewRetry = 2 * time.Second
)

// spread returns how long a host waits, by chance, before it registers again with a
// restored store. A host that finds out at its renewal is spread over the time between
// two of them already; only a fleet that needs longer waits on.
func spread(hosts int, atRenewal bool) time.Duration {
	within := roster.ReregistrationSpread(hosts)
	if atRenewal {
		within = max(within-renewEvery, 0)
	}
	return rand.N(within + 1)
}

// renewals spaces the calls that keep a host registered.
//
// Load pattern: the store is away for many seconds, and the whole fleet goes on
// asking it. With a pause of 500 ms a host made 16 such calls in 9 s, now 6. When
// the store answers the host again, it registers at once: the others would know of
// it half a second later otherwise, and take themselves for fewer than they are.
type renewals struct {
	// failures counts the attempts in a row that failed, by err the newest.
	failures int
	err      error
	// hurried tells that an attempt of this row was made early. Others may reach a
	// store that still turns this host away, so one is enough.
	hurried bool
}

// ended notes how an attempt ended.
func (n *renewals) ended(err error) {
	n.err = err
	if err == nil {
		*n = renewals{}
		return
	}
	n.failures++
}

// pause returns the wait until the next attempt. Listed tells that the host has
// listed the store; until then its first listing is asked for all the while, and
// tells when the store is there. A store that is above its rate is given as long
// as one that answers.
func (n *renewals) pause(listed bool) time.Duration {
	if n.err == nil || !listed || store.Is(n.err, store.Throttled) {
		return renewEvery
	}
	return min(renewRetry<<min(n.failures-1, 8), maxRenewRetry)
}

// mayHurry reports whether an answer of the store cuts the wait short.
func (n *renewals) mayHurry() bool { return n.err != nil && !n.hurried }

// hurry notes that it has.
func (n *renewals) hurry() { n.hurried = true }
