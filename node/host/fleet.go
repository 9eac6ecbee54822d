package host

import (
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/dotterelswitch/dotterelswitch/core/conf"
	"github.com/dotterelswitch/dotterelswitch/core/membership"
	"github.com/dotterelswitch/dotterelswitch/node/eventlog"
)

// fleet is the shared table of hosts and configuration. It is safe for
// concurrent use; its lock is never held while calling out.
type fleet struct {
	origin time.Time
	log    zerolog.Logger

	mu      sync.Mutex
	roster  *membership.Roster
	serving []membership.Host
	placed  *membership.Placement
	seen    uint64
	tracker *conf.Tracker
	changed chan struct{}
}

func newFleet(self membership.Host, timing membership.Timing, log zerolog.Logger) *fleet {
	f := &fleet{
		origin: time.Now(), log: log, tracker: conf.NewTracker(), changed: make(chan struct{}, 1),
		roster: membership.NewRoster(self, timing, membership.Score("roster", self.ID)),
	}
	f.refresh()
	return f
}

func (f *fleet) now() time.Duration { return time.Since(f.origin) }

// update changes the roster and notes whether the hosts that serve changed.
func (f *fleet) update(change func(r *membership.Roster, now time.Duration)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f.roster, f.now())
	f.refresh()
}

// refresh needs mu held.
func (f *fleet) refresh() {
	if g := f.roster.Generation(); g != f.seen || f.serving == nil {
		f.seen = g
		f.serving, f.placed = f.roster.Serving(), nil
		f.signal()
	}
}

func (f *fleet) signal() {
	select {
	case f.changed <- struct{}{}:
	default:
	}
}

// Placement implements router.Fleet. A drained host is left out.
func (f *fleet) Placement() *membership.Placement {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.placement()
}

// placement needs mu held. The placement is kept until the hosts that serve
// or the drains change.
func (f *fleet) placement() *membership.Placement {
	if f.placed == nil {
		cfg := f.tracker.Current()
		kept := make([]membership.Host, 0, len(f.serving))
		for _, h := range f.serving {
			if !cfg.Draining(conf.DrainHost, h.ID) {
				kept = append(kept, h)
			}
		}
		f.placed = membership.NewPlacement(kept)
	}
	return f.placed
}

// CallFailed implements router.Fleet.
func (f *fleet) CallFailed(h membership.Host, refused bool) {
	f.update(func(r *membership.Roster, now time.Duration) {
		if refused {
			r.ProbeRefused(h.ID, h.Incarnation, now)
		} else {
			r.ProbeFailed(h.ID, h.Incarnation, now)
		}
	})
}

// Config implements router.Fleet.
func (f *fleet) Config() *conf.Config {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.tracker.Current()
}

// offerChange puts a change in force if it is next and valid.
func (f *fleet) offerChange(ch conf.Change) error {
	return f.offer(func(t *conf.Tracker) (bool, error) { return t.OfferChange(ch) })
}

// offerSnapshot puts a whole configuration in force if it is newer and valid.
func (f *fleet) offerSnapshot(cfg *conf.Config) error {
	return f.offer(func(t *conf.Tracker) (bool, error) { return t.OfferSnapshot(cfg) })
}

func (f *fleet) offer(take func(*conf.Tracker) (bool, error)) error {
	f.mu.Lock()
	moved, err := take(f.tracker)
	cfg := f.tracker.Current()
	if moved {
		f.placed = nil
		f.signal()
	}
	f.mu.Unlock()
	switch {
	case err != nil:
		eventlog.ConfigRejected.Error(f.log).Err(err).Send()
	case moved:
		eventlog.ConfigInForce.Info(f.log).Uint64("version", cfg.Version).Str("change", cfg.ChangeID).Send()
	}
	return err
}

// since returns the changes above a version, or false when a snapshot is
// needed, with the configuration in force.
func (f *fleet) since(version uint64) ([]conf.Change, bool, *conf.Config) {
	f.mu.Lock()
	defer f.mu.Unlock()
	changes, complete := f.tracker.Since(version)
	return changes, complete, f.tracker.Current()
}

// snapshot returns the configuration, the placement and the hosts believed
// dead.
func (f *fleet) snapshot() (*conf.Config, *membership.Placement, []membership.Host) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.tracker.Current(), f.placement(), f.roster.Dead()
}
