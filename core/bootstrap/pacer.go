package bootstrap

import "time"

// maxQueuedCopies is how long the copies that a source sends may wait for its link. Copies
// beyond it are refused at once: one that arrives after its timeout takes the link for
// nothing, and a source of which more is asked than its link carries would then give none.
const maxQueuedCopies = 400 * time.Millisecond

// Pacer admits the copies that a source sends to as many as its link carries. It is not
// safe for concurrent use.
type Pacer struct {
	linkMbps int
	// freeAt is when the link has sent all admitted copies.
	freeAt time.Duration
}

// NewPacer returns the pacer of a link with a rate in Mbit/s; zero for an unknown one, which
// admits all.
func NewPacer(linkMbps int) *Pacer { return &Pacer{linkMbps: linkMbps} }

// Admit reports whether a copy of some bytes can be sent soon, and counts it if so. One copy
// is always admitted on an idle link.
func (p *Pacer) Admit(bytes int, now time.Duration) bool {
	if p.linkMbps <= 0 {
		return true
	}
	if p.freeAt-now > maxQueuedCopies {
		return false
	}
	seconds := float64(bytes) * 8 / (float64(p.linkMbps) * 1e6)
	p.freeAt = max(p.freeAt, now) + time.Duration(seconds*float64(time.Second))
	return true
}
