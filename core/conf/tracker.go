package conf

// maxRecent is how many changes a tracker keeps for peers that are behind. At
// the planned 19,000 changes a day it covers about 19 minutes.
const maxRecent = 256

// Tracker holds the newest configuration of one host. It only ever moves to a
// higher version, whatever order changes and snapshots arrive in. It is not
// safe for concurrent use.
type Tracker struct {
	current *Config
	recent  []Change
}

// NewTracker returns a tracker at version zero.
func NewTracker() *Tracker { return &Tracker{current: &Config{}} }

// Current returns the configuration in force. It is never changed in place.
func (t *Tracker) Current() *Config { return t.current }

// OfferChange applies a change that follows the current version. It reports
// whether the version moved. An older change is ignored; one that leaves a gap
// is a *GapError, and one with bad items is a *InvalidError.
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
	t.recent = append(t.recent, ch)
	if len(t.recent) > maxRecent {
		t.recent = t.recent[len(t.recent)-maxRecent:]
	}
	return true, nil
}

// OfferSnapshot takes a whole configuration if it is newer. It reports whether
// the version moved.
func (t *Tracker) OfferSnapshot(cfg *Config) (bool, error) {
	if cfg.Version <= t.current.Version {
		return false, nil
	}
	if err := cfg.Validate(); err != nil {
		return false, err
	}
	t.current = cfg
	t.recent = nil
	return true, nil
}

// Since returns the changes above a version, and false when the tracker does
// not have them all any more.
func (t *Tracker) Since(version uint64) ([]Change, bool) {
	if version >= t.current.Version {
		return nil, true
	}
	if len(t.recent) == 0 || t.recent[0].Version > version+1 {
		return nil, false
	}
	return t.recent[version+1-t.recent[0].Version:], true
}
