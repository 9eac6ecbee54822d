package host

import (
	"context"
	"encoding/json"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/conf"
	"github.com/dotterelswitch/dotterelswitch/core/membership"
	"github.com/dotterelswitch/dotterelswitch/node/eventlog"
)

const (
	// ConfigKey is the key of the configuration in the platform's service.
	ConfigKey = "dotterelswitch/config"
	// relaysPerZone is how many hosts of each availability zone watch the
	// platform. The others learn of changes from their peers.
	relaysPerZone = 2
	// watchWait is how long one watch waits. Each watch counts as a call.
	watchWait = 30 * time.Second
	// listInterval is how often a relay reads the list of hosts.
	listInterval = 2 * time.Second
	// roleInterval is how often a host checks whether it is a relay.
	roleInterval = time.Second
	// retryInterval spaces calls to a platform that fails.
	retryInterval = time.Second
)

// isRelay reports whether this host watches the platform for its zone.
func (h *Host) isRelay() bool {
	var zone []membership.Host
	for _, x := range h.fleet.Serving() {
		if x.Zone == h.self.Zone {
			zone = append(zone, x)
		}
	}
	ranked := membership.Ranked("relay", zone)
	for i := range min(relaysPerZone, len(ranked)) {
		if ranked[i].ID == h.self.ID {
			return true
		}
	}
	return false
}

// watchConfig follows the configuration while this host is a relay.
func (h *Host) watchConfig(ctx context.Context) {
	var index uint64
	for ctx.Err() == nil {
		if index != 0 && !h.isRelay() {
			sleep(ctx, roleInterval)
			continue
		}
		v, err := h.store.Watch(ctx, ConfigKey, index, watchWait)
		h.notePlatform(err)
		if err != nil {
			sleep(ctx, retryInterval)
			continue
		}
		if v.Index == 0 {
			sleep(ctx, retryInterval)
			continue
		}
		index = v.Index
		h.takeDocument(v.Data)
	}
}

// watchList reads the platform's list at the start and while a relay.
func (h *Host) watchList(ctx context.Context) {
	for first := true; ctx.Err() == nil; first = false {
		if first || h.isRelay() {
			hosts, err := h.platform.Hosts(ctx)
			h.notePlatform(err)
			if err == nil {
				h.fleet.update(func(r *membership.Roster, now time.Duration) { r.MergeList(hosts, now) })
			}
		}
		sleep(ctx, listInterval)
	}
}

// pullConfig takes the configuration of a host that has a newer one.
func (h *Host) pullConfig(ctx context.Context, from membership.Host) {
	data, err := h.peers.FetchConfig(ctx, from.Peer, h.fleet.Config().Version)
	if err == nil && len(data) > 0 {
		h.takeDocument(data)
	}
}

func (h *Host) takeDocument(data []byte) {
	var cfg conf.Config
	if err := json.Unmarshal(data, &cfg); err != nil {
		eventlog.ConfigRejected.Error(h.log).Err(err).Send()
		return
	}
	if h.fleet.offer(&cfg) {
		h.documentMu.Lock()
		h.document = data
		h.documentMu.Unlock()
	}
}

// Config implements peer.Handler.
func (h *Host) Config(above uint64) (uint64, []byte) {
	version := h.fleet.Config().Version
	if version <= above {
		return version, nil
	}
	h.documentMu.Lock()
	defer h.documentMu.Unlock()
	return version, h.document
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

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
