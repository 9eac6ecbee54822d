package registry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/feature"
	"github.com/dotterelswitch/dotterelswitch/core/store"
	"github.com/dotterelswitch/dotterelswitch/node/eventlog"
)

const (
	// hedgeDelay is the time without an answer after which the first listing of a host
	// is sent again beside the outstanding one. A store that is restarting never
	// answers earlier calls, and waiting for their timeout would delay service. A store
	// that takes sixty times its usual 4 ms answers within it.
	hedgeDelay = 300 * time.Millisecond
	// maxHedgedCalls bounds the outstanding listings.
	maxHedgedCalls = 5
)

type listingResult struct {
	listing store.Listing
	err     error
}

// listHedged lists the keys with a prefix for a host that has just started. It returns
// the first answer, or the last failure when no call is outstanding.
//
// It sends no further listing while the store answers other calls or pages of this
// listing arrive: the store is reachable then, and repeated listings of a whole fleet
// would only load it more.
func (r *Registry) listHedged(ctx context.Context, prefix string) (store.Listing, error) {
	if !r.features.Enabled(feature.HedgedListing) {
		return r.store.Range(ctx, prefix, nil)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan listingResult, maxHedgedCalls)
	var lastPageAt atomic.Int64
	var pages atomic.Int32
	onPage := func(bool) {
		pages.Add(1)
		lastPageAt.Store(int64(r.now()))
	}
	list := func() {
		l, err := r.store.Range(ctx, prefix, onPage)
		results <- listingResult{l, err}
	}
	hedge := time.NewTicker(hedgeDelay)
	defer hedge.Stop()
	start := r.now()
	lastSent, sent := start, 1
	go list()
	for outstanding := 1; ; {
		select {
		case result := <-results:
			outstanding--
			if result.err == nil || outstanding == 0 {
				r.logListed(prefix, result, sent, int(pages.Load()), start)
				return result.listing, result.err
			}
		case <-hedge.C:
			progressing := lastPageAt.Load() > 0 && r.now()-time.Duration(lastPageAt.Load()) < hedgeDelay
			if outstanding < maxHedgedCalls && !progressing && !r.lastAnswered.answeredSince(lastSent) {
				outstanding++
				sent++
				lastSent = r.now()
				go list()
			}
		}
	}
}

// logListed logs the end of a listing of a starting host, which was sent a number of times
// from start on.
func (r *Registry) logListed(prefix string, result listingResult, sent, pages int, start time.Duration) {
	eventlog.StoreListed.Info(r.log).Err(result.err).Str("prefix", prefix).Int("listings", sent).Int("pages", pages).
		Int("keys", len(result.listing.Items)).Dur("elapsed_ms", r.now()-start).Send()
}
