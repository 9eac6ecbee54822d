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
	seen    uint64
	config  *conf.Config
	changed chan struct{}
}

func newFleet(self membership.Host, timing membership.Timing, log zerolog.Logger) *fleet {
	f := &fleet{
		origin: time.Now(), log: log, config: &conf.Config{}, changed: make(chan struct{}, 1),
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
		f.serving = f.roster.Serving()
		f.signal()
	}
}

func (f *fleet) signal() {
	select {
	case f.changed <- struct{}{}:
	default:
	}
}

// Serving implements router.Fleet. A drained host is left out.
func (f *fleet) Serving() []membership.Host {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.config.Drains) == 0 {
		return f.serving
	}
	kept := make([]membership.Host, 0, len(f.serving))
	for _, h := range f.serving {
		if !f.config.Draining(conf.DrainHost, h.ID) {
			kept = append(kept, h)
		}
	}
	return kept
}

// CallFailed implements router.Fleet.
func (f *fleet) CallFailed(h membership.Host) {
	f.update(func(r *membership.Roster, now time.Duration) {
		r.ProbeFailed(h.ID, h.Incarnation, now)
	})
}

// Config implements router.Fleet.
func (f *fleet) Config() *conf.Config {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.config
}

// offer puts a configuration in force if it is newer and valid.
func (f *fleet) offer(cfg *conf.Config) bool {
	if err := cfg.Validate(); err != nil {
		eventlog.ConfigRejected.Error(f.log).Err(err).Uint64("version", cfg.Version).Send()
		return false
	}
	f.mu.Lock()
	if cfg.Version <= f.config.Version {
		f.mu.Unlock()
		return false
	}
	f.config = cfg
	f.signal()
	f.mu.Unlock()
	eventlog.ConfigInForce.Info(f.log).Uint64("version", cfg.Version).Str("change", cfg.ChangeID).Send()
	return true
}

// snapshot returns the hosts that serve and those believed dead.
func (f *fleet) snapshot() (cfg *conf.Config, serving, dead []membership.Host) {
	serving = f.Serving()
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.config, serving, f.roster.Dead()
}
