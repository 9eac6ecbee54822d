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
	// relaysPerZone is the number of hosts in each availability zone that watch
	// the platform. The others receive changes from their peers.
	relaysPerZone = 2
	// maxConfigApplyTime is the time within which a change is in force on all hosts, those
	// whose connection to the platform has gone silent included.
	maxConfigApplyTime = 12 * time.Second
	// watchTimeout is the duration of one blocking query of the platform. With the time
	// that the client allows for the answer, a retry and the reading of the change it is
	// shorter than maxConfigApplyTime.
	watchTimeout = maxConfigApplyTime / 3
	// listInterval is the base interval at which a relay reads host lists.
	listInterval = 30 * time.Second
	// hostsPerExtraInterval is the number of hosts for which the interval grows by
	// another listInterval, because the lists grow with the fleet.
	hostsPerExtraInterval = 100
	// otherZonesPerRead is the number of other zones whose lists are read each
	// time.
	otherZonesPerRead = 3
	// initialListReads is the number of times that every host reads host lists
	// after its start, at initialListInterval.
	initialListReads    = 3
	initialListInterval = 2 * time.Second
	// relayCheckInterval is the interval at which a host checks whether it is a
	// relay.
	relayCheckInterval = time.Second
	// retryInterval is the delay before a failed platform call is retried.
	retryInterval = time.Second
)

// isRelay reports whether this host is a relay of its zone.
func (h *Host) isRelay() bool {
	ranked := membership.Ranked("relay", h.fleet.Placement().Zone(h.self.Zone))
	for i := range min(relaysPerZone, len(ranked)) {
		if ranked[i].ID == h.self.ID {
			return true
		}
	}
	return false
}

// watchConfig reads the log of configuration changes once at the start and then
// follows it while this host is a relay.
func (h *Host) watchConfig(ctx context.Context) {
	var index uint64
	for ctx.Err() == nil {
		if index != 0 && !h.isRelay() {
			clock.Sleep(ctx, relayCheckInterval)
			continue
		}
		head, nextIndex, err := h.config.WatchHead(ctx, index, watchTimeout)
		h.recordPlatformResult(err)
		if err == nil && nextIndex == index {
			h.config.RepairHead(ctx, head.Version+1)
		}
		if err == nil && nextIndex != 0 {
			err = h.catchUp(ctx, head)
		}
		if err != nil || nextIndex == 0 {
			clock.Sleep(ctx, retryInterval)
			continue
		}
		index = nextIndex
	}
}

// catchUp applies the log of changes up to its head. If this host's version is
// older than the snapshot, it starts from the snapshot, because older changes may
// have been trimmed.
func (h *Host) catchUp(ctx context.Context, head confstore.Head) error {
	for {
		current := h.fleet.Config().Version
		if current >= head.Version {
			return nil
		}
		if current < head.Snapshot {
			cfg, err := h.config.Snapshot(ctx, head)
			if err == nil {
				err = h.fleet.offerSnapshot(cfg)
			}
			if err != nil {
				return err
			}
			continue
		}
		ch, found, err := h.config.Change(ctx, current+1)
		if err != nil {
			return err
		}
		if !found {
			return &confstore.CorruptValueError{Key: "change", Err: errMissingChange}
		}
		if err := h.fleet.offerChange(ch); err != nil {
			return err
		}
	}
}

var errMissingChange = errors.New("change below the head of the log is missing")

// syncHostList reads the platform's host lists frequently after the start, to
// discover peers, and afterwards at a long interval and only on relays, because
// gossip propagates all further changes.
func (h *Host) syncHostList(ctx context.Context) {
	for round := 0; ctx.Err() == nil; round++ {
		initial := round < initialListReads
		if initial || h.isRelay() {
			h.fetchHostLists(ctx, round)
		}
		if initial {
			clock.Sleep(ctx, initialListInterval)
		} else {
			clock.Sleep(ctx, listInterval*time.Duration(1+h.KnownHosts()/hostsPerExtraInterval))
		}
	}
}

// fetchHostLists reads the host list of this host's zone and, in rotation, those
// of other zones, so that zones rejoin after a long partition.
func (h *Host) fetchHostLists(ctx context.Context, round int) {
	zones := []string{h.self.Zone}
	allZones := h.fleet.Config().Zones
	for i := range min(otherZonesPerRead, len(allZones)) {
		zones = append(zones, allZones[(round*otherZonesPerRead+i)%len(allZones)].Name)
	}
	for _, zone := range zones {
		hosts, err := h.platform.Hosts(ctx, zone)
		h.recordPlatformResult(err)
		if err != nil {
			return
		}
		h.fleet.updateRoster(func(r *membership.Roster, now time.Duration) { r.MergeList(hosts, now) })
	}
}

// pullConfig fetches and applies the configuration that another host has above
// this host's version.
func (h *Host) pullConfig(ctx context.Context, from membership.Host) {
	update, err := h.peers.FetchConfig(ctx, from.Peer, h.fleet.Config().Version)
	if err != nil {
		return
	}
	if len(update.Snapshot) > 0 {
		var cfg conf.Config
		if err := json.Unmarshal(update.Snapshot, &cfg); err != nil {
			eventlog.ConfigRejected.Error(h.log).Err(err).Send()
			return
		}
		_ = h.fleet.offerSnapshot(&cfg)
	}
	for _, data := range update.Changes {
		if !h.applyChangeJSON(data) {
			return
		}
	}
}

// applyChangeJSON activates a JSON-encoded change. It reports whether this or a
// newer version is active afterwards.
func (h *Host) applyChangeJSON(data []byte) bool {
	var ch conf.Change
	if err := json.Unmarshal(data, &ch); err != nil {
		eventlog.ConfigRejected.Error(h.log).Err(err).Send()
		return false
	}
	return h.fleet.offerChange(ch) == nil
}

// OfferChange implements peer.Handler. Gossip propagates the change to the other
// hosts.
func (h *Host) OfferChange(change []byte) uint64 {
	h.applyChangeJSON(change)
	return h.ConfigVersion()
}

// Config implements peer.Handler.
func (h *Host) Config(above uint64) peer.ConfigUpdate {
	changes, complete, cfg := h.fleet.changesSince(above)
	update := peer.ConfigUpdate{Version: cfg.Version}
	if !complete {
		// Encoding cannot fail for these types.
		update.Snapshot, _ = json.Marshal(cfg)
		return update
	}
	for _, ch := range changes {
		data, _ := json.Marshal(ch)
		update.Changes = append(update.Changes, data)
	}
	return update
}

// recordPlatformResult logs when the platform becomes unreachable or reachable
// again.
func (h *Host) recordPlatformResult(err error) {
	if h.ctx.Err() != nil {
		return
	}
	unreachable := err != nil
	if h.platformDown.Swap(unreachable) == unreachable {
		return
	}
	if unreachable {
		eventlog.PlatformUnreachable.Warn(h.log).Err(err).Send()
	} else {
		eventlog.PlatformReachable.Info(h.log).Send()
	}
}
