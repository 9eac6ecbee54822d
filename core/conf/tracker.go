package conf

// maxRecentChanges bounds the changes retained for hosts with an older version. A host
// that needs older changes has to fetch a snapshot. At 19,000 changes a day they cover
// about 19 minutes.
const maxRecentChanges = 256

// Tracker holds the newest configuration known to one host. Its version only
// increases, in whatever order changes and snapshots arrive. It is not safe for
// concurrent use.
type Tracker struct {
	current       *Config
	recentChanges []Change
}

// NewTracker returns a tracker at version zero.
func NewTracker() *Tracker { return &Tracker{current: &Config{}} }

// Current returns the configuration in force, which is immutable.
func (t *Tracker) Current() *Config { return t.current }

// OfferChange applies the change that follows the current version and reports
// whether the version advanced. Changes that are already included are ignored. A
// change that skips a version returns a *VersionGapError, one with invalid items an
// *InvalidError.
func (t *Tracker) OfferChange(ch Change) (bool, error) {
	if ch.Version <= t.current.Version {
		return false, nil
	}
	next, err := t.current.Apply(ch)
	if err != nil {
		return false, err
	}
	if err := next.ValidateItems(ch.Put); err != nil {
		return false, err
	}
	t.current = next
	t.recentChanges = append(t.recentChanges, ch)
	if len(t.recentChanges) > maxRecentChanges {
		t.recentChanges = t.recentChanges[len(t.recentChanges)-maxRecentChanges:]
	}
	return true, nil
}

// OfferSnapshot adopts a whole configuration if it is newer, and reports whether
// the version advanced. An invalid configuration returns an *InvalidError.
func (t *Tracker) OfferSnapshot(cfg *Config) (bool, error) {
	if cfg.Version <= t.current.Version {
		return false, nil
	}
	if err := cfg.Validate(); err != nil {
		return false, err
	}
	t.current = cfg
	t.recentChanges = nil
	return true, nil
}

// Since returns the changes after a version, or false if some of them are no
// longer retained.
func (t *Tracker) Since(version uint64) ([]Change, bool) {
	if version >= t.current.Version {
		return nil, true
	}
	if len(t.recentChanges) == 0 || t.recentChanges[0].Version > version+1 {
		return nil, false
	}
	return t.recentChanges[version+1-t.recentChanges[0].Version:], true
}
