package fleetsim

import (
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/gates"
	"github.com/dotterelswitch/dotterelswitch/core/storelink"
)

// synchronize takes the next step for the local copy: a listing, a relay or a watch.
func (h *host) synchronize() {
	if h.link.RelistDue() {
		h.link.UseStore()
		h.listOrCopy()
		return
	}
	fleet := h.fleet()
	if h.link.MayFollow() {
		if chosen, follows := h.chooser.Pick(fleet, h.now); follows {
			h.follow(h.named(chosen))
			return
		}
	}
	h.watchStore(fleet)
}

func (h *host) named(g gates.Host) *host { return h.byName[g.Name] }

// listed applies a complete listing.
func (h *host) listed(revision, bytes int) {
	h.decode(bytes, func() {
		h.failures = 0
		h.link.Listed(h.now, 0)
		h.revision = revision
		h.setConfig(h.store.configAt(revision))
		if h.needsLongerLease() {
			h.register()
		}
		h.synchronize()
	})
}

// watchStore waits for the store's next changes.
func (h *host) watchStore(fleet []gates.Host) {
	h.link.UseStore()
	start, wait := h.now, h.pacing.WatchWait
	spacing := h.pacing.WatchSpacing(h.role(fleet))
	if h.link.TakeCatchUp() {
		wait, spacing = 0, 0
	}
	process, ended := h.process, false
	end := func(result watchResult, upTo int) {
		if ended || !h.running || h.process != process {
			return
		}
		ended = true
		switch result {
		case watchRefused:
			h.callFailed()
			return
		case watchCompacted:
			h.link.HistoryLost()
		case watchAnswered:
			h.failures = 0
			h.applyChanges(upTo, 0)
		}
		h.at(start+spacing, h.ifRunning(h.synchronize))
	}
	h.after(h.pacing.WatchTimeout, func() { end(watchRefused, 0) })
	h.store.watch(h, h.revision, wait, end)
}

// callFailed retries after a delay.
func (h *host) callFailed() {
	h.link.Failed(h.now)
	delay := h.pacing.Backoff(h.role(h.fleet()), h.config > 0, false, h.failures).Delay(h.failures, h.rng)
	h.failures++
	h.after(delay, h.ifRunning(h.synchronize))
}

// applyChanges applies the changes up to a revision, which the store sent an age ago, and
// sends them to the followers.
func (h *host) applyChanges(upTo int, age time.Duration) {
	h.link.Answered(h.now, age)
	if upTo <= h.revision {
		return
	}
	h.revision = upTo
	if h.store.sources[h.zone].Revision == 0 {
		h.maintainSources()
	}
	for _, f := range h.followers {
		h.sendChanges(f)
	}
	h.decodeConfig(upTo)
}

// poll asks other hosts what they know while neither the store nor a relay answers.
func (h *host) poll() {
	h.after(storelink.PollInterval, h.ifRunning(h.poll))
	if !h.link.PollDue(h.now, h.pacing.WatchWait) {
		return
	}
	for _, asked := range h.sweep.Next(h.fleet()) {
		peer := h.named(asked)
		h.transmit(&h.port, &peer.port, progressBytes, func() {
			if peer.running {
				revision, config, reachesStore := peer.revision, peer.config, !peer.link.Unreachable()
				h.transmit(&peer.port, &h.port, progressBytes, h.ifRunning(func() { h.fetchFrom(peer, revision, config, reachesStore) }))
			}
		})
	}
}

// fetchFrom fetches what a host knows better: changes if it reaches the store, or the
// configuration alone.
func (h *host) fetchFrom(peer *host, revision, config int, reachesStore bool) {
	above := max(h.revision, h.polledRevision)
	changes := reachesStore && revision > above
	if !changes && config <= h.config {
		return
	}
	if changes {
		h.polledRevision = revision
	}
	h.transmit(&h.port, &peer.port, 0, func() {
		if !peer.running {
			return
		}
		bytes := h.options.ConfigBytes
		if changes {
			bytes = h.store.relayedBytes(above, revision)
		}
		h.transmit(&peer.port, &h.port, bytes, h.ifRunning(func() {
			h.decodeConfig(revision)
			if config > h.config {
				h.decode(h.options.ConfigBytes, func() { h.setConfig(config) })
			}
		}))
	})
}

// decodeConfig decodes the configuration of a revision if it is a newer one.
func (h *host) decodeConfig(revision int) {
	if version := h.store.configAt(revision); version > h.config {
		h.decode(h.options.ConfigBytes, func() { h.setConfig(version) })
	}
}

func (h *host) setConfig(version int) {
	if version > h.config {
		h.config = version
		h.inForce(h.index, version)
	}
}

// jitter returns a random part of a duration.
func (h *host) jitter(d time.Duration) time.Duration {
	return time.Duration(h.rng.Int64N(int64(d)))
}
