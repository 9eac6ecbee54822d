package registry

import (
	"strconv"
	"strings"

	"github.com/dotterelswitch/dotterelswitch/core/store"
	"github.com/dotterelswitch/dotterelswitch/core/succession"
)

// The keys that hosts keep for each other.
const (
	ownPrefix     = "dotterelswitch/"
	hostPrefix    = ownPrefix + "hosts/"
	suspectPrefix = ownPrefix + "suspects/"
	lockPrefix    = ownPrefix + "locks/"
)

func hostKey(host string) string { return hostPrefix + host }

func suspectKey(service, member, host string) string {
	return suspectPrefix + service + "/" + member + "/" + host
}

func lockKey(service string) string { return lockPrefix + service }

// ownKeys is what the hosts have written, besides their registrations.
type ownKeys struct {
	suspects map[string]bool
	// locks maps a service to its promotion lock.
	locks map[string]succession.Lock
}

func newOwnKeys() ownKeys {
	return ownKeys{suspects: map[string]bool{}, locks: map[string]succession.Lock{}}
}

// take applies one key.
func (o ownKeys) take(i store.Item) effect {
	if rest, ok := strings.CutPrefix(i.Key, suspectPrefix); ok {
		// A report that was written before the store returned from a copy may have been
		// taken back since; hosts report again.
		setOrDelete(o.suspects, rest, true, i.Deleted || !writtenNow(i))
		return noted
	}
	if service, ok := strings.CutPrefix(i.Key, lockPrefix); ok {
		setOrDelete(o.locks, service, decodeLock(i), i.Deleted)
		return noted
	}
	return nothingNew
}

// encodeReport writes the report of a dead primary: the epoch that it holds in.
func encodeReport(epoch store.Epoch) []byte { return strconv.AppendUint(nil, uint64(epoch), 10) }

// writtenNow tells whether a report was written in the epoch of the store that holds
// it.
func writtenNow(i store.Item) bool {
	return string(i.Value) == string(encodeReport(i.Revision.Epoch()))
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

func (o ownKeys) suspecting(service, member string) []string {
	if len(o.suspects) == 0 {
		// Asked for each group ten times a second, and nearly always so.
		return nil
	}
	prefix := service + "/" + member + "/"
	var out []string
	for key := range o.suspects {
		if host, ok := strings.CutPrefix(key, prefix); ok {
			out = append(out, host)
		}
	}
	return out
}
