package registry

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/gates"
	"github.com/dotterelswitch/dotterelswitch/core/roster"
	"github.com/dotterelswitch/dotterelswitch/core/store"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
)

// encodeRegistration writes what other hosts need to know of one: its zone and
// address, the epoch in which it is written, and the configuration that it knows.
func encodeRegistration(reg roster.Registration) []byte {
	return []byte(strings.Join([]string{
		reg.Host.Zone, reg.Host.Address,
		strconv.FormatUint(uint64(reg.Epoch), 10), strconv.FormatUint(reg.ConfigVersion, 10),
	}, " "))
}

// decodeRegistration reads a registration. Hosts of an earlier version name neither
// epoch nor configuration; theirs count as written in the epoch that holds them.
func decodeRegistration(name string, i store.Item) roster.Registration {
	fields := strings.Split(string(i.Value), " ")
	fields = append(fields, make([]string, max(0, 4-len(fields)))...)
	reg := roster.Registration{Host: gates.Host{Name: name, Zone: fields[0], Address: fields[1]}, Epoch: i.Revision.Epoch()}
	if epoch, err := strconv.ParseUint(fields[2], 10, 64); err == nil {
		reg.Epoch = store.Epoch(epoch)
	}
	if version, err := strconv.ParseUint(fields[3], 10, 64); err == nil {
		reg.ConfigVersion = version
	}
	return reg
}

// registrationOf returns the registration in an item; it reports false for other
// keys.
func registrationOf(i store.Item) (roster.Registration, bool) {
	name, ok := strings.CutPrefix(i.Key, hostPrefix)
	if !ok {
		return roster.Registration{}, false
	}
	return decodeRegistration(name, i), true
}

// registrationsIn returns the registrations of a listing.
func registrationsIn(l store.Listing) []roster.Registration {
	var out []roster.Registration
	for _, i := range l.Items {
		if reg, ok := registrationOf(i); ok {
			out = append(out, reg)
		}
	}
	return out
}

// takeRegistration takes a change of a host's registration. It is called with mu
// held.
func (r *Registry) takeRegistration(reg roster.Registration, deleted bool, now time.Duration) {
	if deleted {
		r.roster.Remove(reg.Host.Name, now)
		return
	}
	r.roster.Put(reg, now)
	r.scheduleExpiry()
}

// scheduleExpiry looks again when the registrations that are carried over from an
// earlier epoch have had their time. It is called with mu held.
func (r *Registry) scheduleExpiry() {
	if r.expiring || !r.roster.HasCarriedOver() {
		return
	}
	r.expiring = true
	time.AfterFunc(roster.MinCarryOver, r.expireHosts)
}

func (r *Registry) expireHosts() {
	r.mu.Lock()
	r.expiring = false
	dropped := r.roster.Expire(clock.Now())
	r.scheduleExpiry()
	r.mu.Unlock()
	if dropped {
		r.changed()
	}
}

// Hosts returns the names of the hosts that are registered.
func (r *Registry) Hosts() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []string
	for _, h := range r.roster.Hosts() {
		out = append(out, h.Name)
	}
	slices.Sort(out)
	return out
}

// Fleet returns the hosts that are registered.
func (r *Registry) Fleet() []gates.Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.roster.Hosts()
}

// AddressOf returns where a registered host takes datagrams and calls.
func (r *Registry) AddressOf(host string) (string, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	h, found := r.roster.Host(host)
	return h.Address, found
}
