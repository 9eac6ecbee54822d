package registry

import (
	"context"
	"strings"

	"github.com/dotterelswitch/dotterelswitch/core/store"
	"github.com/dotterelswitch/dotterelswitch/core/succession"
)

// memberSeparator separates the IDs in the record of a group's members.
const memberSeparator = " "

func decodeSyncGroup(i store.Item) succession.SyncGroup {
	return succession.SyncGroup{Members: strings.Fields(string(i.Value)), Revision: i.Revision}
}

// SyncGroup returns the record of the members of a service; the zero value without one.
func (r *Registry) SyncGroup(service string) succession.SyncGroup {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.coordination.syncGroups[service]
}

// RecordSyncGroup replaces the record of the members of a service if it is unchanged since
// known. The record has no lease: it outlives the hosts that wrote it.
func (r *Registry) RecordSyncGroup(ctx context.Context, service string, members []string, known succession.SyncGroup) error {
	write := store.Write{Key: syncGroupKey(service), Value: []byte(strings.Join(members, memberSeparator))}
	revision, err := r.replaceUnchanged(ctx, write, known.Revision)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.coordination.syncGroups[service].Revision < revision {
		r.coordination.syncGroups[service] = succession.SyncGroup{Members: members, Revision: revision}
	}
	return nil
}
