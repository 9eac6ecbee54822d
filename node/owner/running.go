package owner

import (
	"context"
	"sync"
)

// runKey names a request in progress.
type runKey struct {
	sender string
	id     uint64
}

// running finds the requests in progress, for cancel calls.
type running struct {
	mu   sync.Mutex
	ends map[runKey]context.CancelFunc
}

// add registers a request and returns the function that takes it out.
func (r *running) add(sender string, id uint64, cancel context.CancelFunc) func() {
	key := runKey{sender, id}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ends == nil {
		r.ends = make(map[runKey]context.CancelFunc)
	}
	r.ends[key] = cancel
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.ends, key)
	}
}

// Cancel stops a request in progress; one that is not known is left alone.
func (o *Owner) Cancel(sender string, id uint64) {
	o.runs.mu.Lock()
	cancel, found := o.runs.ends[runKey{sender, id}]
	o.runs.mu.Unlock()
	if found {
		cancel()
	}
}
