package registry

import (
	"slices"
	"strings"

	"github.com/dotterelswitch/dotterelswitch/core/gates"
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

// ownKeys is what the hosts have written.
type ownKeys struct {
	// hosts are the living hosts by name.
	hosts    map[string]gates.Host
	suspects map[string]bool
	// locks maps a service to its promotion lock.
	locks map[string]succession.Lock
}

func newOwnKeys() ownKeys {
	return ownKeys{hosts: map[string]gates.Host{}, suspects: map[string]bool{}, locks: map[string]succession.Lock{}}
}

// take applies one key.
func (o ownKeys) take(i store.Item) effect {
	if name, ok := strings.CutPrefix(i.Key, hostPrefix); ok {
		setOrDelete(o.hosts, name, decodeHost(name, i.Value), i.Deleted)
		return rerouted
	}
	if rest, ok := strings.CutPrefix(i.Key, suspectPrefix); ok {
		setOrDelete(o.suspects, rest, true, i.Deleted)
		return noted
	}
	if service, ok := strings.CutPrefix(i.Key, lockPrefix); ok {
		setOrDelete(o.locks, service, decodeLock(i), i.Deleted)
		return noted
	}
	return nothingNew
}

func decodeLock(i store.Item) succession.Lock {
	return succession.Lock{Holder: string(i.Value), Revision: i.Revision}
}

// encodeHost writes what other hosts need to know of one.
func encodeHost(h gates.Host) []byte { return []byte(h.Zone + " " + h.Address) }

func decodeHost(name string, value []byte) gates.Host {
	zone, address, _ := strings.Cut(string(value), " ")
	return gates.Host{Name: name, Zone: zone, Address: address}
}

func setOrDelete[V any](m map[string]V, key string, value V, deleted bool) {
	if deleted {
		delete(m, key)
		return
	}
	m[key] = value
}

func (o ownKeys) fleet() []gates.Host {
	out := make([]gates.Host, 0, len(o.hosts))
	for _, h := range o.hosts {
		out = append(out, h)
	}
	return out
}

func (o ownKeys) hostNames() []string {
	out := make([]string, 0, len(o.hosts))
	for name := range o.hosts {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
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
