package registry

import (
	"errors"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/gates"
	"github.com/dotterelswitch/dotterelswitch/core/roster"
	"github.com/dotterelswitch/dotterelswitch/core/store"
)

// registrationFields is the number of fields of a registration.
const registrationFields = 6

// encodeRegistration encodes a host's zone, address, the epoch of the registration, the
// version of the host's configuration, and its processor time and link rate.
func encodeRegistration(reg roster.Registration) []byte {
	return []byte(strings.Join([]string{
		reg.Host.Zone, reg.Host.Address,
		strconv.FormatUint(uint64(reg.Epoch), 10), strconv.FormatUint(reg.ConfigVersion, 10),
		strconv.Itoa(reg.Host.MilliCores), strconv.Itoa(reg.Host.LinkMbps),
	}, " "))
}

// decodeRegistration decodes a registration. Hosts of earlier releases write neither
// epoch nor configuration version, or neither processor time nor link rate; the epoch of
// the item's revision is used for them.
func decodeRegistration(name string, i store.Item) roster.Registration {
	fields := strings.Split(string(i.Value), " ")
	fields = append(fields, make([]string, max(0, registrationFields-len(fields)))...)
	reg := roster.Registration{Host: gates.Host{Name: name, Zone: fields[0], Address: fields[1]}, Epoch: i.Revision.Epoch()}
	if epoch, err := strconv.ParseUint(fields[2], 10, 64); err == nil {
		reg.Epoch = store.Epoch(epoch)
	}
	if version, err := strconv.ParseUint(fields[3], 10, 64); err == nil {
		reg.ConfigVersion = version
	}
	if milliCores, err := strconv.Atoi(fields[4]); err == nil {
		reg.Host.MilliCores = milliCores
	}
	if linkMbps, err := strconv.Atoi(fields[5]); err == nil {
		reg.Host.LinkMbps = linkMbps
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

// maxRegistrationBytes limits a registration. Hosts write less than a hundred bytes.
const maxRegistrationBytes = 1 << 10

// maxHostResource is the largest processor time and link rate that is believed.
const maxHostResource = 1 << 30

// errNotRegistration reports a key among the registrations that no host has written.
var errNotRegistration = errors.New("it is no registration of a host")

// checkRegistration reports a registration that no host can have written. A host that
// nobody can call would be counted as a gate and as a voter.
func (r *Registry) checkRegistration(reg roster.Registration, i store.Item) error {
	h := reg.Host
	sound := h.Name != "" && len(i.Value) <= maxRegistrationBytes && r.validAddress(h.Address) &&
		h.MilliCores >= 0 && h.MilliCores <= maxHostResource && h.LinkMbps >= 0 && h.LinkMbps <= maxHostResource
	if !sound {
		return errNotRegistration
	}
	return nil
}

// registrationsIn returns the registrations of a listing. It is called with mu held.
func (r *Registry) registrationsIn(l store.Listing) []roster.Registration {
	var out []roster.Registration
	for _, i := range l.Items {
		if reg, ok := registrationOf(i); ok && r.noteReadable(i, r.checkRegistration(reg, i)) {
			out = append(out, reg)
		}
	}
	return out
}

// applyRegistration applies a change of a host's registration. It is called with mu
// held.
func (r *Registry) applyRegistration(reg roster.Registration, i store.Item, now time.Duration) {
	r.fleetChanged()
	if i.Deleted || !r.noteReadable(i, r.checkRegistration(reg, i)) {
		r.roster.Remove(reg.Host.Name, now)
		return
	}
	r.roster.Put(reg, now)
	r.scheduleExpiry()
}

// scheduleExpiry schedules the removal of registrations that are carried over from an
// earlier epoch. It is called with mu held.
func (r *Registry) scheduleExpiry() {
	if r.expiryScheduled || !r.roster.HasCarriedOver() {
		return
	}
	r.expiryScheduled = true
	time.AfterFunc(roster.MinCarryOver, r.expireHosts)
}

func (r *Registry) expireHosts() {
	r.mu.Lock()
	r.expiryScheduled = false
	dropped := r.roster.Expire(r.now())
	if dropped {
		r.fleetChanged()
	}
	r.scheduleExpiry()
	r.mu.Unlock()
	if dropped {
		r.changed()
	}
}

// fleetSnapshot holds the registered hosts between two changes of the roster. Statements
// and promoters ask for them many times a second.
type fleetSnapshot struct {
	hosts []gates.Host
	// names are the sorted names of the hosts.
	names []string
}

// fleetChanged records a change of the roster. It is called with mu held.
func (r *Registry) fleetChanged() {
	r.changes.Fleet = true
	r.fleet = nil
	if r.sourcesMissing() {
		notify(r.sourcesDue)
	}
}

// currentFleet is called with mu held.
func (r *Registry) currentFleet() *fleetSnapshot {
	if r.fleet == nil {
		r.fleet = &fleetSnapshot{hosts: r.roster.Hosts()}
		for _, h := range r.fleet.hosts {
			r.fleet.names = append(r.fleet.names, h.Name)
		}
		slices.Sort(r.fleet.names)
	}
	return r.fleet
}

// Hosts returns the sorted names of the registered hosts. The caller must not modify the
// slice.
func (r *Registry) Hosts() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.currentFleet().names
}

// Fleet returns the registered hosts. The caller must not modify the slice.
func (r *Registry) Fleet() []gates.Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.currentFleet().hosts
}

// LastDeparture returns when the registration of a host last ended; zero if this host has
// seen none end.
func (r *Registry) LastDeparture() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.roster.LastDeparture()
}

// AddressOf returns the address on which a registered host receives datagrams and
// calls.
func (r *Registry) AddressOf(host string) (string, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	h, found := r.roster.Host(host)
	return h.Address, found
}
