package fleetsim

import (
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/roster"
	"github.com/dotterelswitch/dotterelswitch/core/store"
)

// errRefused is the result of a call that the store refused.
var errRefused = &store.Error{Failure: store.Throttled}

// register requests a lease and registers the host with it.
func (h *host) register() {
	h.registrations++
	ttl := roster.LeaseTTL(len(h.fleet()))
	h.writeCall(func() {}, func() {
		h.writeCall(func() { h.store.register(h.index, ttl) }, func() {
			h.leaseTTL = ttl
			h.renewals.Record(nil)
			h.renewAfter(roster.FirstRenewalDelay(ttl, h.rng))
			h.maintainSources()
		})
	})
}

// renewAfter renews the lease after a delay unless the host registers again before.
func (h *host) renewAfter(delay time.Duration) {
	registrations := h.registrations
	h.after(delay, h.ifRunning(func() {
		if h.registrations == registrations {
			h.renew()
		}
	}))
}

// renew renews the lease, or registers again if it has ended or is too short.
func (h *host) renew() {
	if h.needsLongerLease() {
		h.register()
		return
	}
	registered := false
	h.writeCall(func() { registered = h.store.renew(h.index, h.leaseTTL) }, func() {
		if !registered {
			h.register()
			return
		}
		h.renewals.Record(nil)
		h.renewAfter(roster.RenewalInterval(h.leaseTTL))
		h.maintainSources()
	})
}

// writeCall makes a call that the store carries out with do. After a refusal the renewal
// is tried again later.
func (h *host) writeCall(do, done func()) {
	h.store.call(h, true, func() int { do(); return 0 }, func(ok bool) {
		h.ifRunning(func() {
			if ok {
				done()
				return
			}
			h.renewals.Record(errRefused)
			h.renewAfter(h.renewals.Delay(h.config > 0, roster.RenewalInterval(h.leaseTTL)))
		})()
	})
}

func (h *host) needsLongerLease() bool {
	return roster.NeedsLongerLease(h.leaseTTL, len(h.fleet()))
}
