package registry

import (
	"context"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/store"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
)

const (
	// hedgeAfter is how long the first listing of a host waits for an answer until
	// it is asked for once more beside the first. Fault pattern: all hosts lose
	// power, and the store is silent until shortly after they are back; what was
	// asked before that has no answer, and a host that waited for the end of its
	// call served nobody for up to 1.1 s longer than it had to. A store that takes
	// sixty times its usual 4 ms answers within it.
	hedgeAfter = 300 * time.Millisecond
	// maxHedged is how many such calls may be outstanding: together they span the
	// time of one call, so that there is always a young one.
	maxHedged = 5
)

// listed is the end of one call.
type listed struct {
	listing store.Listing
	err     error
}

// listFirst lists everything for a host that knows nothing yet. It returns the
// first answer, or the last failure when no call is left.
//
// It does not ask once more while the store answers other calls. Load pattern:
// 295 hosts come back at once beside a configuration of 1,000 routes; their
// listings take the store's link for most of a second, and 482 that were asked
// for beside them took it for that much longer: half of the hosts had their
// configuration 0.7 s after their start.
func (r *Registry) listFirst(ctx context.Context) (store.Listing, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ended := make(chan listed, maxHedged)
	ask := func() {
		l, err := r.listAll(ctx)
		ended <- listed{l, err}
	}
	again := time.NewTicker(hedgeAfter)
	defer again.Stop()
	newest := clock.Now()
	go ask()
	for outstanding := 1; ; {
		select {
		case e := <-ended:
			outstanding--
			if e.err == nil || outstanding == 0 {
				return e.listing, e.err
			}
		case <-again.C:
			if outstanding < maxHedged && !r.seen.after(newest) {
				outstanding++
				newest = clock.Now()
				go ask()
			}
		}
	}
}
