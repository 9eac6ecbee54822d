package host

import (
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/dotterelswitch/dotterelswitch/core/conf"
	"github.com/dotterelswitch/dotterelswitch/core/membership"
	"github.com/dotterelswitch/dotterelswitch/node/eventlog"
)

// fleet holds the known hosts and the active configuration. It is safe for
// concurrent use; the lock is never held during I/O.
type fleet struct {
	startedAt time.Time
	log       zerolog.Logger

	mu               sync.Mutex
	roster           *membership.Roster
	serving          []membership.Host
	cachedPlacement  *membership.Placement
	rosterGeneration uint64
	tracker          *conf.Tracker
	changed          chan struct{}
}

func newFleet(self membership.Host, timing membership.Timing, log zerolog.Logger) *fleet {
	f := &fleet{
		startedAt: time.Now(), log: log, tracker: conf.NewTracker(), changed: make(chan struct{}, 1),
		roster: membership.NewRoster(self, timing, membership.Score("roster", self.ID)),
	}
	f.refreshServing()
	return f
}

func (f *fleet) now() time.Duration { return time.Since(f.startedAt) }

// updateRoster runs change on the roster and refreshes the serving hosts.
func (f *fleet) updateRoster(change func(r *membership.Roster, now time.Duration)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f.roster, f.now())
	f.refreshServing()
}

// refreshServing updates the cached serving hosts if the roster has changed. The
// caller must hold mu.
func (f *fleet) refreshServing() {
	if g := f.roster.Generation(); g != f.rosterGeneration || f.serving == nil {
		f.rosterGeneration = g
		f.serving, f.cachedPlacement = f.roster.Serving(), nil
		f.notifyChanged()
	}
}

func (f *fleet) notifyChanged() {
	select {
	case f.changed <- struct{}{}:
	default:
	}
}

// Placement implements router.Fleet. Draining hosts are excluded.
func (f *fleet) Placement() *membership.Placement {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.placement()
}

// placement returns the placement, which is cached until the serving hosts or the
// configuration change. The caller must hold mu.
func (f *fleet) placement() *membership.Placement {
	if f.cachedPlacement == nil {
		cfg := f.tracker.Current()
		active := make([]membership.Host, 0, len(f.serving))
		for _, h := range f.serving {
			if !cfg.Draining(conf.DrainHost, h.ID) {
				active = append(active, h)
			}
		}
		f.cachedPlacement = membership.NewPlacement(active)
	}
	return f.cachedPlacement
}

// CallFailed implements router.Fleet.
func (f *fleet) CallFailed(h membership.Host, refused bool) {
	f.updateRoster(func(r *membership.Roster, now time.Duration) {
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

// offerChange activates a change if it is valid and the next version.
func (f *fleet) offerChange(ch conf.Change) error {
	return f.offerToTracker(func(t *conf.Tracker) (bool, error) { return t.OfferChange(ch) })
}

// offerSnapshot activates a configuration if it is valid and newer.
func (f *fleet) offerSnapshot(cfg *conf.Config) error {
	return f.offerToTracker(func(t *conf.Tracker) (bool, error) { return t.OfferSnapshot(cfg) })
}

func (f *fleet) offerToTracker(apply func(*conf.Tracker) (bool, error)) error {
	f.mu.Lock()
	updated, err := apply(f.tracker)
	cfg := f.tracker.Current()
	if updated {
		f.cachedPlacement = nil
		f.notifyChanged()
	}
	f.mu.Unlock()
	switch {
	case err != nil:
		eventlog.ConfigRejected.Error(f.log).Err(err).Send()
	case updated:
		eventlog.ConfigInForce.Info(f.log).Uint64("version", cfg.Version).Str("change", cfg.ChangeID).Send()
	}
	return err
}

// changesSince returns the changes above a version and the active configuration. It
// returns false if the changes are incomplete and a snapshot is needed.
func (f *fleet) changesSince(version uint64) ([]conf.Change, bool, *conf.Config) {
	f.mu.Lock()
	defer f.mu.Unlock()
	changes, complete := f.tracker.Since(version)
	return changes, complete, f.tracker.Current()
}

// snapshot returns the configuration, the placement and the dead hosts, all from
// the same moment.
func (f *fleet) snapshot() (*conf.Config, *membership.Placement, []membership.Host) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.tracker.Current(), f.placement(), f.roster.Dead()
}
