package fleetsim

import (
	"slices"

	"github.com/dotterelswitch/dotterelswitch/core/relay"
)

// isRecent reports whether the host gives others its changes.
func (h *host) isRecent() bool {
	return h.running && h.link.Recent(h.now, h.pacing.WatchWait+relay.StoreAnswerGrace)
}

// follow asks a host for changes.
func (h *host) follow(source *host) {
	h.link.Follow(source.self.Name)
	f := &follower{host: h, process: h.process, sent: h.revision}
	if source.dead {
		h.after(relay.HeartbeatTimeout, f.ifSameProcess(func() { h.relayLost(source, false) }))
		return
	}
	h.transmit(&h.port, &source.port, 0, f.ifSameProcess(func() {
		switch {
		case !source.running:
			h.transmit(&source.port, &h.port, 0, f.ifSameProcess(func() { h.relayLost(source, false) }))
		case !source.isRecent():
			h.transmit(&source.port, &h.port, 0, f.ifSameProcess(func() { h.relayLost(source, true) }))
		default:
			source.followers = append(source.followers, f)
			source.sendChanges(f)
		}
	}))
}

// sendChanges sends a follower what it lacks.
func (h *host) sendChanges(f *follower) {
	if h.revision <= f.sent {
		return
	}
	bytes, upTo := h.store.relayedBytes(f.sent, h.revision), h.revision
	if bytes == 0 {
		return
	}
	f.sent = upTo
	knownUntil := h.now - h.link.Age(h.now)
	h.transmit(&h.port, &f.port, bytes, f.ifSameProcess(func() { f.applyChanges(upTo, h.now-knownUntil) }))
}

// heartbeat tells the followers that the relay is there, or leaves them if it has no
// recent data itself.
func (h *host) heartbeat() {
	recent := h.isRecent()
	for _, f := range h.followers {
		knownUntil := h.now - h.link.Age(h.now)
		// A heartbeat tells the revision too. All before it were sent.
		before, upTo := f.sent, max(f.sent, h.revision)
		f.sent = upTo
		h.transmit(&h.port, &f.port, 0, f.ifSameProcess(func() {
			if !recent {
				f.relayLost(h, true)
				return
			}
			f.link.Answered(h.now, h.now-knownUntil)
			if f.revision >= before {
				f.revision = max(f.revision, upTo)
			}
		}))
	}
	if !recent {
		h.followers = nil
	}
	h.followers = slices.DeleteFunc(h.followers, func(f *follower) bool { return !f.running || f.host.process != f.process })
	h.after(relay.HeartbeatInterval, h.ifRunning(h.heartbeat))
}

// relayLost looks for another source of changes after a while.
func (h *host) relayLost(source *host, refused bool) {
	if h.link.Relay() != source.self.Name {
		return
	}
	h.link.RelayLost()
	h.chooser.MarkFailed(source.self.Name, refused, h.now)
	h.after(relay.FailoverDelay+h.jitter(relay.FailoverDelay), h.ifRunning(h.synchronize))
}
