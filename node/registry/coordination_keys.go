package registry

import (
	"context"
	"strconv"
	"strings"

	"github.com/dotterelswitch/dotterelswitch/core/bootstrap"
	"github.com/dotterelswitch/dotterelswitch/core/store"
	"github.com/dotterelswitch/dotterelswitch/core/succession"
)

// Prefixes of the keys that hosts write for each other.
const (
	keyPrefix       = "dotterelswitch/"
	hostPrefix      = keyPrefix + "hosts/"
	suspicionPrefix = keyPrefix + "suspects/"
	lockPrefix      = keyPrefix + "locks/"
	syncGroupPrefix = keyPrefix + "syncgroups/"
)

func hostKey(host string) string { return hostPrefix + host }

func suspicionKey(service, member, host string) string {
	return suspicionPrefix + service + "/" + member + "/" + host
}

func lockKey(service string) string { return lockPrefix + service }

func syncGroupKey(service string) string { return syncGroupPrefix + service }

// coordinationKeys holds what hosts have written besides their registrations.
type coordinationKeys struct {
	// suspicions is the set of current suspicions, as SERVICE/MEMBER/HOST.
	suspicions map[string]bool
	// locks maps a service to its promotion lock.
	locks map[string]succession.Lock
	// sources maps a zone to the record of its sources.
	sources map[string]bootstrap.Record
	// syncGroups maps a service with synchronous replicas to the record of its members.
	syncGroups map[string]succession.SyncGroup
}

func newCoordinationKeys() coordinationKeys {
	return coordinationKeys{suspicions: map[string]bool{}, locks: map[string]succession.Lock{}, sources: map[string]bootstrap.Record{}, syncGroups: map[string]succession.SyncGroup{}}
}

// apply applies the change of one key.
func (k coordinationKeys) apply(i store.Item) effect {
	if rest, ok := strings.CutPrefix(i.Key, suspicionPrefix); ok {
		// A suspicion from before a restore of the store may have been withdrawn since.
		// Hosts that still suspect the member write it again.
		setOrDelete(k.suspicions, rest, true, i.Deleted || !fromCurrentEpoch(i))
		return stateChanged
	}
	if service, ok := strings.CutPrefix(i.Key, lockPrefix); ok {
		setOrDelete(k.locks, service, decodeLock(i), i.Deleted)
		return stateChanged
	}
	if service, ok := strings.CutPrefix(i.Key, syncGroupPrefix); ok {
		setOrDelete(k.syncGroups, service, decodeSyncGroup(i), i.Deleted)
		return stateChanged
	}
	if zone, ok := zoneOfSources(i.Key); ok {
		// One that cannot be read has no sources, so that it is replaced.
		record, _ := decodeSources(zone, i)
		setOrDelete(k.sources, zone, record, i.Deleted)
		return stateChanged
	}
	return noEffect
}

// replaceUnchanged writes a key that was last changed at a revision; zero for one that does
// not exist. It fails with store.Conflict if the key has changed since.
func (r *Registry) replaceUnchanged(ctx context.Context, w store.Write, last store.Revision) (store.Revision, error) {
	return r.store.Commit(ctx, store.Txn{
		Conditions: []store.Condition{{Key: w.Key, Revision: last}},
		Writes:     []store.Write{w},
	})
}

// encodeSuspicion returns the value of a suspicion: the epoch in which it is valid.
func encodeSuspicion(epoch store.Epoch) []byte { return strconv.AppendUint(nil, uint64(epoch), 10) }

// fromCurrentEpoch reports whether a suspicion was written in the current epoch of the
// store, not in one before a restore.
func fromCurrentEpoch(i store.Item) bool {
	return string(i.Value) == string(encodeSuspicion(i.Revision.Epoch()))
}

func decodeLock(i store.Item) succession.Lock {
	return succession.Lock{Holder: string(i.Value), Revision: i.Revision}
}

func setOrDelete[V any](m map[string]V, key string, value V, deleted bool) {
	if deleted {
		delete(m, key)
		return
	}
	m[key] = value
}

// hostsReportingDead returns the hosts with a suspicion of a member.
func (k coordinationKeys) hostsReportingDead(service, member string) []string {
	if len(k.suspicions) == 0 {
		// The usual case; promoters call this several times a second for each group.
		return nil
	}
	prefix := service + "/" + member + "/"
	var out []string
	for key := range k.suspicions {
		if host, ok := strings.CutPrefix(key, prefix); ok {
			out = append(out, host)
		}
	}
	return out
}
