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

// FetchConfigFunc fetches the configuration document of the host at an address. It
// returns nil if that host has no version above the given one.
type FetchConfigFunc func(ctx context.Context, address string, above uint64) ([]byte, error)

const (
	// fetchConfigTimeout bounds the time for which a starting host waits for its peers'
	// configuration. It allows for a new connection and three round trips between
	// regions; callers wait meanwhile.
	fetchConfigTimeout = 300 * time.Millisecond
	// configPeers is the number of peers that are asked, since one may be down and one
	// may have just started too.
	configPeers = 3
)

// applyConfig applies the configuration document of the store. It is called with mu
// held.
func (r *Registry) applyConfig(document []byte) effect {
	next, ok := r.decodeConfig(document)
	if !ok {
		return noEffect
	}
	if r.catalog == nil && r.fetchConfig != nil && r.roster.MayHaveNewerConfig(next.Version) {
		r.deferConfig(next, document)
		// Followers that run already decide for themselves.
		return stateChanged
	}
	r.activateConfig(next, document)
	return routingChanged
}

// decodeConfig decodes a document; an invalid one is logged.
func (r *Registry) decodeConfig(document []byte) (*catalog.Catalog, bool) {
	next, err := r.docs.Catalog(document)
	if err != nil {
		eventlog.ConfigRejected.Error(r.log).Err(err).Send()
		return nil, false
	}
	return next, true
}

// activateConfig makes a configuration active unless a newer one is active. It is
// called with mu held.
func (r *Registry) activateConfig(next *catalog.Catalog, document []byte) {
	current := r.catalog
	r.catalog = catalog.Newer(current, next)
	if r.catalog == current {
		return
	}
	r.configDocument = document
	// The copy of a restored store may have an older one.
	if i, found := r.items[r.docs.ConfigKey()]; found {
		i.Value = document
		r.items[i.Key] = i
	}
	r.changes.All = true
	eventlog.ConfigInForce.Info(r.log).Uint64("version", next.Version).Int("routes", next.Len()).Send()
}

// withActiveConfig returns the item of the configuration with the active document as
// its value. A restored store may hold an older version, which must not reach
// followers. It is called with mu held.
func (r *Registry) withActiveConfig(i store.Item) store.Item {
	if r.configDocument != nil {
		i.Value = r.configDocument
	}
	return i
}

// keepActiveConfig adds the active configuration to the local copy if a listing lacks
// it. It is called with mu held.
func (r *Registry) keepActiveConfig(at store.Revision) {
	key := r.docs.ConfigKey()
	if _, found := r.items[key]; !found && r.configDocument != nil {
		r.items[key] = store.Item{Key: key, Value: r.configDocument, Revision: at}
	}
}

// pendingConfig is a configuration that is not active yet.
type pendingConfig struct {
	catalog  *catalog.Catalog
	document []byte
}

// deferConfig delays the activation of the store's configuration on a starting host
// until peers were asked for a newer one. It is called with mu held and does not wait.
func (r *Registry) deferConfig(stored *catalog.Catalog, document []byte) {
	fetching := r.pendingConfig != nil
	if !fetching || r.pendingConfig.catalog.Version < stored.Version {
		r.pendingConfig = &pendingConfig{catalog: stored, document: document}
	}
	if fetching {
		return
	}
	// One more, because this host may be among them.
	peers := r.roster.HostsWithNewestConfig(configPeers+1, r.newRand())
	eventlog.ConfigDeferred.Info(r.log).Uint64("version", stored.Version).Int("peers", len(peers)).Send()
	go func() {
		r.fetchConfigFromAll(peers, stored.Version)
		r.mu.Lock()
		r.activateConfig(r.pendingConfig.catalog, r.pendingConfig.document)
		r.pendingConfig = nil
		r.mu.Unlock()
		r.changed()
	}()
}

// fetchConfigFromAll asks hosts for a configuration above a version, and returns when
// all have answered or fetchConfigTimeout is over.
func (r *Registry) fetchConfigFromAll(hosts []gates.Host, above uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchConfigTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, h := range hosts {
		if h.Name == r.self.Name {
			continue
		}
		wg.Go(func() { r.fetchConfigFrom(ctx, h, above) })
	}
	wg.Wait()
}

// fetchConfigFrom asks a host for a configuration above a version and activates it.
func (r *Registry) fetchConfigFrom(ctx context.Context, peer gates.Host, above uint64) {
	document, err := r.fetchConfig(ctx, peer.Address, above)
	if err != nil {
		r.log.Debug().Err(err).Str("peer", peer.Name).Msg("fetching the configuration from a peer failed")
		return
	}
	if len(document) == 0 {
		return // The peer has no newer one.
	}
	next, ok := r.decodeConfig(document)
	if !ok {
		return
	}
	eventlog.ConfigFetched.Info(r.log).Str("peer", peer.Name).Uint64("version", next.Version).Send()
	r.mu.Lock()
	r.activateConfig(next, document)
	r.mu.Unlock()
	r.changed()
}

// ConfigDocument returns the active configuration document if its version is above the
// given one; nil otherwise.
func (r *Registry) ConfigDocument(above uint64) []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.catalog == nil || r.catalog.Version <= above {
		return nil
	}
	return r.configDocument
}
