package owner

import "sync"

// windowBits is how many request numbers are remembered for each sender.
const (
	wordBits   = 64
	windowBits = 64 * wordBits
)

// recent remembers the newest requests of each sender, so that a message that
// is delivered twice runs once. A number below the remembered window counts as
// seen, which refuses a request rather than running it twice.
type recent struct {
	mu      sync.Mutex
	senders map[string]*window
}

// window is a ring of one bit for each of the newest numbers up to high.
type window struct {
	high uint64
	bits [windowBits / wordBits]uint64
}

func newRecent() *recent { return &recent{senders: make(map[string]*window)} }

// add notes a request and reports whether it is new.
func (r *recent) add(sender string, id uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	w, found := r.senders[sender]
	if !found {
		w = &window{}
		r.senders[sender] = w
	}
	return w.add(id)
}

// forget drops a sender that is gone for good.
func (r *recent) forget(sender string) {
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
	word, bit := w.place(id)
	if *word&bit != 0 {
		return false
	}
	*word |= bit
	return true
}

// advance moves the window up to id and clears what it newly covers.
func (w *window) advance(id uint64) {
	if id-w.high >= windowBits {
		clear(w.bits[:])
		w.high = id
		return
	}
	for w.high < id {
		w.high++
		word, bit := w.place(w.high)
		*word &^= bit
	}
}

func (w *window) place(id uint64) (word *uint64, bit uint64) {
	slot := id % windowBits
	return &w.bits[slot/wordBits], 1 << (slot % wordBits)
}
