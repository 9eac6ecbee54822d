package registry

import (
	"context"
	"sync"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/catalog"
	"github.com/dotterelswitch/dotterelswitch/core/gates"
	"github.com/dotterelswitch/dotterelswitch/core/store"
	"github.com/dotterelswitch/dotterelswitch/node/eventlog"
)

// AskConfigFunc asks the host at an address for its configuration document; nil
// where it has none above a version.
type AskConfigFunc func(ctx context.Context, address string, above uint64) ([]byte, error)

const (
	// askConfigTime bounds the wait of a host that starts for the others' answers:
	// three round trips between regions, and a connection to open. Callers wait
	// meanwhile.
	askConfigTime = 300 * time.Millisecond
	// askedForConfig is how many hosts it asks: one may be lost, and one may have
	// started just as this one.
	askedForConfig = 3
)

// takeConfig takes the operators' document as the store has it. It is called with mu
// held.
func (r *Registry) takeConfig(document []byte) effect {
	next, ok := r.decodeConfig(document)
	if !ok {
		return nothingNew
	}
	if r.catalog == nil && r.askConfig != nil && r.roster.MayHaveNewerConfig(next.Version) {
		r.hold(next, document)
		return nothingNew
	}
	r.putInForce(next, document)
	return rerouted
}

// decodeConfig decodes a document; one that cannot be used is logged.
func (r *Registry) decodeConfig(document []byte) (*catalog.Catalog, bool) {
	next, err := r.docs.Catalog(document)
	if err != nil {
		eventlog.ConfigRejected.Error(r.log).Err(err).Send()
		return nil, false
	}
	return next, true
}

// putInForce puts a configuration in force unless a newer one is. It is called with
// mu held.
func (r *Registry) putInForce(next *catalog.Catalog, document []byte) {
	current := r.catalog
	r.catalog = catalog.Newer(current, next)
	if r.catalog == current {
		return
	}
	r.document = document
	eventlog.ConfigInForce.Info(r.log).Uint64("version", next.Version).Int("routes", next.Len()).Send()
}

// withDocument returns the item of the configuration as this host passes it on: the
// document in force, whatever an older copy of the store holds. It is called with mu
// held.
func (r *Registry) withDocument(i store.Item) store.Item {
	if r.document != nil {
		i.Value = r.document
	}
	return i
}

// keepDocument has the configuration passed on that a listing lacks. It is called
// with mu held.
func (r *Registry) keepDocument(at store.Revision) {
	key := r.docs.ConfigKey()
	if _, found := r.items[key]; !found && r.document != nil {
		r.items[key] = store.Item{Key: key, Value: r.document, Revision: at}
	}
}

// heldConfig is a configuration that is not in force yet.
type heldConfig struct {
	catalog  *catalog.Catalog
	document []byte
}

// hold keeps the store's configuration back while this host, which has just started,
// asks others for a newer one. It is called with mu held and does not wait.
func (r *Registry) hold(stored *catalog.Catalog, document []byte) {
	asking := r.held != nil
	if !asking || r.held.catalog.Version < stored.Version {
		r.held = &heldConfig{catalog: stored, document: document}
	}
	if asking {
		return
	}
	// This host may be among them.
	asked := r.roster.HostsWithNewestConfig(askedForConfig+1, r.newRand())
	go func() {
		r.askAll(asked, stored.Version)
		r.mu.Lock()
		r.putInForce(r.held.catalog, r.held.document)
		r.held = nil
		r.mu.Unlock()
		r.changed()
	}()
}

// askAll asks hosts for a configuration above a version, and returns when all have
// answered or the time is over.
func (r *Registry) askAll(hosts []gates.Host, above uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), askConfigTime)
	defer cancel()
	var wg sync.WaitGroup
	for _, h := range hosts {
		if h.Name == r.self.Name {
			continue
		}
		wg.Go(func() {
			document, err := r.askConfig(ctx, h.Address, above)
			if err != nil {
				r.log.Debug().Err(err).Str("peer", h.Name).Msg("a peer did not tell its configuration")
				return
			}
			r.takeAnswer(document)
		})
	}
	wg.Wait()
}

// takeAnswer takes the configuration that another host runs on, if it has told one.
func (r *Registry) takeAnswer(document []byte) {
	if len(document) == 0 {
		return
	}
	next, ok := r.decodeConfig(document)
	if !ok {
		return
	}
	r.mu.Lock()
	r.putInForce(next, document)
	r.mu.Unlock()
	r.changed()
}

// ConfigDocument returns the document in force if it is above a version; nil
// otherwise.
func (r *Registry) ConfigDocument(above uint64) []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.catalog == nil || r.catalog.Version <= above {
		return nil
	}
	return r.document
}
