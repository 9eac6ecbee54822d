package owner

import (
	"context"
	"sync"
)

// requestKey identifies a request in progress.
type requestKey struct {
	sender string
	id     uint64
}

// runningRequests holds the cancel functions of the requests in progress.
type runningRequests struct {
	mu      sync.Mutex
	cancels map[requestKey]context.CancelFunc
}

// add registers a request and returns the function that removes it.
func (r *runningRequests) add(sender string, id uint64, cancel context.CancelFunc) func() {
	key := requestKey{sender, id}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cancels == nil {
		r.cancels = make(map[requestKey]context.CancelFunc)
	}
	r.cancels[key] = cancel
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.cancels, key)
	}
}

// Cancel stops a request in progress; an unknown one is ignored.
func (o *Owner) Cancel(sender string, id uint64) {
	o.running.mu.Lock()
	cancel, found := o.running.cancels[requestKey{sender, id}]
	o.running.mu.Unlock()
	if found {
		cancel()
	}
}
