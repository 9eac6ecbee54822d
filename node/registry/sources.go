package registry

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"strings"

	"github.com/dotterelswitch/dotterelswitch/core/bootstrap"
	"github.com/dotterelswitch/dotterelswitch/core/gates"
	"github.com/dotterelswitch/dotterelswitch/core/relay"
	"github.com/dotterelswitch/dotterelswitch/core/store"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
	"github.com/dotterelswitch/dotterelswitch/node/eventlog"
)

// sourcesPrefix is the prefix of the records of sources, one a zone. They have no lease:
// after the loss of a whole fleet they tell its hosts whom to ask.
const sourcesPrefix = keyPrefix + "sources/"

// sourcesSuffix ends the key of a record, so that it is a prefix of no other zone's.
const sourcesSuffix = "/hosts"

func sourcesKey(zone string) string { return sourcesPrefix + zone + sourcesSuffix }

// zoneOfSources returns the zone of a record's key; false for other keys.
func zoneOfSources(key string) (string, bool) {
	rest, ok := strings.CutPrefix(key, sourcesPrefix)
	if !ok {
		return "", false
	}
	return strings.CutSuffix(rest, sourcesSuffix)
}

// sourceDocument is a source in a record.
type sourceDocument struct {
	Name       string `json:"name"`
	Address    string `json:"address"`
	MilliCores int    `json:"millicores,omitempty"`
	LinkMbps   int    `json:"link_mbps,omitempty"`
}

func encodeSources(hosts []gates.Host) ([]byte, error) {
	documents := make([]sourceDocument, 0, len(hosts))
	for _, h := range hosts {
		documents = append(documents, sourceDocument{Name: h.Name, Address: h.Address, MilliCores: h.MilliCores, LinkMbps: h.LinkMbps})
	}
	return json.Marshal(documents)
}

func decodeSources(zone string, i store.Item) (bootstrap.Record, error) {
	record := bootstrap.Record{Revision: i.Revision}
	var documents []sourceDocument
	if err := json.Unmarshal(i.Value, &documents); err != nil {
		return record, err
	}
	for _, d := range documents {
		record.Sources = append(record.Sources, gates.Host{Name: d.Name, Zone: zone, Address: d.Address, MilliCores: d.MilliCores, LinkMbps: d.LinkMbps})
	}
	return record, nil
}

// sourcesIn returns the record of a zone among some items; the zero Record if there is
// none. One that cannot be read has no sources, so that it is replaced.
func (r *Registry) sourcesIn(items []store.Item, zone string) bootstrap.Record {
	for _, i := range items {
		// A conflict shows a key that does not exist with the number zero.
		if i.Key != sourcesKey(zone) || i.Deleted || i.Revision.Number() == 0 {
			continue
		}
		record, err := decodeSources(zone, i)
		if err != nil {
			r.logUnreadable(i, err)
		}
		return record
	}
	return bootstrap.Record{}
}

// readSources reads the record of this host's zone, and the store's revision, with one small
// call.
func (r *Registry) readSources(ctx context.Context) (bootstrap.Record, store.Revision, error) {
	l, err := r.store.Range(ctx, sourcesKey(r.self.Zone), nil)
	return r.sourcesIn(l.Items, r.self.Zone), l.Revision, err
}

// copyOrPlace returns the copy of a source, or false once this host is a source itself and
// lists the store. Recent tells from which revision on a copy lacks nothing.
func (r *Registry) copyOrPlace(ctx context.Context, record bootstrap.Record, recent func(at store.Revision) bool) (l store.Listing, copied bool, err error) {
	search := bootstrap.NewSearch(r.self, record, r.now())
	defer func() {
		for _, host := range search.Gone() {
			r.relayFailed(host, false)
		}
	}()
	pause := func() bool { return clock.Sleep(ctx, bootstrap.RetryInterval/2+rand.N(bootstrap.RetryInterval)) }
	for round := 0; ; round++ {
		switch search.Next(r.now()) {
		case bootstrap.List:
			return store.Listing{}, false, nil
		case bootstrap.Read:
			if !pause() {
				return store.Listing{}, false, ctx.Err()
			}
			current, _, err := r.readSources(ctx)
			if err != nil {
				return store.Listing{}, false, err
			}
			search.Update(current, r.now())
			continue
		case bootstrap.Claim:
			// Many hosts find the place free at the same time.
			if !clock.Sleep(ctx, rand.N(bootstrap.RetryInterval)) {
				return store.Listing{}, false, ctx.Err()
			}
			if err := r.claimSource(ctx, search); err != nil {
				return store.Listing{}, false, err
			}
			continue
		}
		// The sources of a fleet that starts at once have no copy for many rounds.
		if l, copied := r.askSources(ctx, search, recent, round == 0); copied {
			return l, true, nil
		}
		search.Asked()
		if !pause() {
			return store.Listing{}, false, ctx.Err()
		}
	}
}

// askSources asks one source after the other for its copy.
func (r *Registry) askSources(ctx context.Context, search *bootstrap.Search, recent func(at store.Revision) bool, logFailures bool) (store.Listing, bool) {
	for _, source := range search.Sources(r.now()) {
		l, err := r.snapshotFrom(ctx, source, recent)
		if err == nil {
			eventlog.SnapshotTaken.Info(r.log).Str("peer", source.Name).Stringer("revision", l.Revision).Int("keys", len(l.Items)).Send()
			return l, true
		}
		var refused *RelayRefusedError
		if errors.As(err, &refused) || errors.Is(err, errOutdatedSnapshot) {
			search.Answered(source.Name, r.now())
		} else {
			search.Silent(source.Name, r.now())
		}
		if logFailures {
			eventlog.SnapshotFailed.Info(r.log).Err(err).Str("peer", source.Name).Send()
		}
	}
	return store.Listing{}, false
}

// claimSource enters this host into the record of its zone, unless another one has changed
// the record since it was read. Either way the search goes on from the newest state.
func (r *Registry) claimSource(ctx context.Context, search *bootstrap.Search) error {
	claimed := search.Claimed(r.now())
	revision, err := r.writeSources(ctx, claimed, search.Record().Revision)
	var conflict *store.Error
	switch {
	case err == nil:
		eventlog.SourceClaimed.Info(r.log).Strs("sources", sourceNames(claimed)).Stringer("revision", revision).Send()
		search.Update(bootstrap.Record{Sources: claimed, Revision: revision}, r.now())
	case errors.As(err, &conflict) && conflict.Failure == store.Conflict:
		search.Update(r.sourcesIn(conflict.Current, r.self.Zone), r.now())
	default:
		return err
	}
	return nil
}

// writeSources replaces the record of this host's zone if it was last changed at a
// revision.
func (r *Registry) writeSources(ctx context.Context, sources []gates.Host, last store.Revision) (store.Revision, error) {
	value, err := encodeSources(sources)
	if err != nil {
		return 0, err
	}
	return r.replaceUnchanged(ctx, store.Write{Key: sourcesKey(r.self.Zone), Value: value}, last)
}

// keepSources keeps the record of this host's zone until the context ends.
func (r *Registry) keepSources(ctx context.Context) {
	for {
		select {
		case <-r.sourcesDue:
			r.maintainSources(ctx)
		case <-ctx.Done():
			return
		}
		// The hosts of a fleet that starts register one by one.
		if !clock.Sleep(ctx, bootstrap.RetryInterval) {
			return
		}
	}
}

// sourcesMissing reports whether the fleet is large and the zone of this host has no
// record. It is called with mu held.
func (r *Registry) sourcesMissing() bool {
	return r.roster.Len() >= relay.MinFleetForSources && r.coordination.sources[r.self.Zone].Revision == 0
}

// maintainSources keeps the record of this host's zone in line with the running fleet, if
// the fleet is large and this host ranks first in its zone. The next claim or renewal
// corrects a record that was not written.
func (r *Registry) maintainSources(ctx context.Context) {
	r.mu.Lock()
	fleet, record := r.currentFleet().hosts, r.coordination.sources[r.self.Zone]
	r.mu.Unlock()
	sources := relay.Sources(r.self, fleet)
	if len(sources) == 0 || sources[0].Name != r.self.Name || record.SameSources(sources) {
		return
	}
	if _, err := r.writeSources(ctx, sources, record.Revision); err != nil {
		r.log.Debug().Err(err).Msg("writing the sources of the zone failed")
	}
}

func sourceNames(hosts []gates.Host) []string {
	var out []string
	for _, h := range hosts {
		out = append(out, h.Name)
	}
	return out
}
