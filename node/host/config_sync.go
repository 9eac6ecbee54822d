package host

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/conf"
	"github.com/dotterelswitch/dotterelswitch/core/membership"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
	"github.com/dotterelswitch/dotterelswitch/node/confstore"
	"github.com/dotterelswitch/dotterelswitch/node/eventlog"
	"github.com/dotterelswitch/dotterelswitch/node/peer"
)

const (
	// relaysPerZone is how many hosts of each availability zone watch the
	// platform. The others learn of changes from their peers.
	relaysPerZone = 2
	// watchWait is how long one watch waits. Each watch counts as a call.
	watchWait = 30 * time.Second
	// listInterval is how often a relay reads lists of hosts, and
	// otherZonesListed how many of other zones each time.
	listInterval = 30 * time.Second
	// hostsPerListInterval lengthens the interval with the fleet, because the
	// lists grow with it.
	hostsPerListInterval = 100
	otherZonesListed     = 3
	// earlyLists is how many times every host reads lists after its start, and
	// earlyListInterval how often.
	earlyLists        = 3
	earlyListInterval = 2 * time.Second
	// roleInterval is how often a host checks whether it is a relay.
	roleInterval = time.Second
	// retryInterval spaces calls to a platform that fails.
	retryInterval = time.Second
)

// isRelay reports whether this host watches the platform for its zone.
func (h *Host) isRelay() bool {
	ranked := membership.Ranked("relay", h.fleet.Placement().Zone(h.self.Zone))
	for i := range min(relaysPerZone, len(ranked)) {
		if ranked[i].ID == h.self.ID {
			return true
		}
	}
	return false
}

// watchConfig follows the log of changes while this host is a relay, and reads
// it once at the start.
func (h *Host) watchConfig(ctx context.Context) {
	var index uint64
	for ctx.Err() == nil {
		if index != 0 && !h.isRelay() {
			clock.Sleep(ctx, roleInterval)
			continue
		}
		head, next, err := h.config.WatchHead(ctx, index, watchWait)
		h.notePlatform(err)
		if err == nil && next == index {
			h.config.Repair(ctx, head.Version+1)
		}
		if err == nil && next != 0 {
			err = h.catchUp(ctx, head)
		}
		if err != nil || next == 0 {
			clock.Sleep(ctx, retryInterval)
			continue
		}
		index = next
	}
}

// catchUp brings this host up to the head of the log.
func (h *Host) catchUp(ctx context.Context, head confstore.Head) error {
	for {
		have := h.fleet.Config().Version
		if have >= head.Version {
			return nil
		}
		if have < head.Snapshot {
			cfg, err := h.config.Snapshot(ctx, head)
			if err == nil {
				err = h.fleet.offerSnapshot(cfg)
			}
			if err != nil {
				return err
			}
			continue
		}
		ch, found, err := h.config.Change(ctx, have+1)
		if err != nil {
			return err
		}
		if !found {
			return &confstore.DamagedError{Key: "change", Err: errMissingChange}
		}
		if err := h.fleet.offerChange(ch); err != nil {
			return err
		}
	}
}

var errMissingChange = errors.New("a change below the head is missing")

// watchList reads the platform's list often after the start, to meet the
// fleet, and then rarely, while a relay: gossip carries everything else.
func (h *Host) watchList(ctx context.Context) {
	for round := 0; ctx.Err() == nil; round++ {
		early := round < earlyLists
		if early || h.isRelay() {
			h.readLists(ctx, round)
		}
		if early {
			clock.Sleep(ctx, earlyListInterval)
		} else {
			clock.Sleep(ctx, listInterval*time.Duration(1+h.Known()/hostsPerListInterval))
		}
	}
}

// readLists reads the list of this host's zone and, in turn, of some others,
// so that zones find each other again after a long separation.
func (h *Host) readLists(ctx context.Context, round int) {
	zones := []string{h.self.Zone}
	all := h.fleet.Config().Zones
	for i := range min(otherZonesListed, len(all)) {
		zones = append(zones, all[(round*otherZonesListed+i)%len(all)].Name)
	}
	for _, zone := range zones {
		hosts, err := h.platform.Hosts(ctx, zone)
		h.notePlatform(err)
		if err != nil {
			return
		}
		h.fleet.update(func(r *membership.Roster, now time.Duration) { r.MergeList(hosts, now) })
	}
}

// pullConfig takes what another host has above this one's version.
func (h *Host) pullConfig(ctx context.Context, from membership.Host) {
	u, err := h.peers.FetchConfig(ctx, from.Peer, h.fleet.Config().Version)
	if err != nil {
		return
	}
	if len(u.Snapshot) > 0 {
		var cfg conf.Config
		if err := json.Unmarshal(u.Snapshot, &cfg); err != nil {
			eventlog.ConfigRejected.Error(h.log).Err(err).Send()
			return
		}
		_ = h.fleet.offerSnapshot(&cfg)
	}
	for _, data := range u.Changes {
		if !h.takeChange(data) {
			return
		}
	}
}

// takeChange puts a change in force, given as JSON; it reports whether that or
// a newer version is in force now.
func (h *Host) takeChange(data []byte) bool {
	var ch conf.Change
	if err := json.Unmarshal(data, &ch); err != nil {
		eventlog.ConfigRejected.Error(h.log).Err(err).Send()
		return false
	}
	return h.fleet.offerChange(ch) == nil
}

// OfferChange implements peer.Handler. Gossip takes the change from here to all
// other hosts.
func (h *Host) OfferChange(change []byte) uint64 {
	h.takeChange(change)
	return h.ConfigVersion()
}

// Config implements peer.Handler.
func (h *Host) Config(above uint64) peer.ConfigUpdate {
	changes, complete, cfg := h.fleet.since(above)
	u := peer.ConfigUpdate{Version: cfg.Version}
	if !complete {
		// Plain data always encodes.
		u.Snapshot, _ = json.Marshal(cfg)
		return u
	}
	for _, ch := range changes {
		data, _ := json.Marshal(ch)
		u.Changes = append(u.Changes, data)
	}
	return u
}

// notePlatform logs when the platform is lost and found.
func (h *Host) notePlatform(err error) {
	if h.ctx.Err() != nil {
		return
	}
	down := err != nil
	if h.platformDown.Swap(down) == down {
		return
	}
	if down {
		eventlog.PlatformUnreached.Warn(h.log).Err(err).Send()
	} else {
		eventlog.PlatformReached.Info(h.log).Send()
	}
}
