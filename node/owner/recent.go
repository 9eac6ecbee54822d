package owner

import "sync"

const (
	wordBits = 64
	// windowBits is the number of request IDs remembered for each sender.
	windowBits = 64 * wordBits
)

// recentRequests remembers the newest request IDs of each sender, so that a
// message that is delivered twice runs once. An ID older than the window counts
// as seen: the request is refused rather than possibly run twice.
type recentRequests struct {
	mu      sync.Mutex
	senders map[string]*window
}

// window is a ring buffer with one bit for each ID up to high.
type window struct {
	high uint64
	bits [windowBits / wordBits]uint64
}

func newRecentRequests() *recentRequests { return &recentRequests{senders: make(map[string]*window)} }

// add records a request and reports whether it is new.
func (r *recentRequests) add(sender string, id uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	w, found := r.senders[sender]
	if !found {
		w = &window{}
		r.senders[sender] = w
	}
	return w.add(id)
}

// removeSender drops the window of a dead sender.
func (r *recentRequests) removeSender(sender string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.senders, sender)
}

func (w *window) add(id uint64) bool {
	if id > w.high {
		w.advance(id)
	} else if w.high-id >= windowBits {
		return false
	}
	word, bit := w.locate(id)
	if *word&bit != 0 {
		return false
	}
	*word |= bit
	return true
}

// advance moves the window up to id and clears the bits of the IDs that enter it.
func (w *window) advance(id uint64) {
	if id-w.high >= windowBits {
		clear(w.bits[:])
		w.high = id
		return
	}
	for w.high < id {
		w.high++
		word, bit := w.locate(w.high)
		*word &^= bit
	}
}

func (w *window) locate(id uint64) (word *uint64, bit uint64) {
	slot := id % windowBits
	return &w.bits[slot/wordBits], 1 << (slot % wordBits)
}
