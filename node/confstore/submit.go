package confstore

import (
	"context"
	"encoding/json"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/conf"
)

const (
	// maxRebases bounds how often a change is tried on a newer version.
	maxRebases = 50
	// settleTries and settlePause bound the search for a lost answer.
	settleTries = 6
	settlePause = 500 * time.Millisecond
)

// Edit computes a change from the configuration that it is made on.
type Edit func(cfg *conf.Config) (conf.Items, conf.Names, error)

// Submit makes a change and returns it as accepted. A change ID that
// is in the log already is not applied again. When other operators get in
// between, the change is computed anew on their version, unless they touched
// the same items: that is a *ConflictError.
func (s *Store) Submit(ctx context.Context, changeID string, edit Edit) (conf.Change, error) {
	var made *conf.Change
	for range maxRebases {
		cfg, changes, err := s.Load(ctx)
		if err != nil {
			return conf.Change{}, err
		}
		for _, ch := range changes {
			if ch.ChangeID == changeID {
				return ch, s.advance(ctx, cfg, ch.Version)
			}
			if made != nil && ch.Version >= made.Version && ch.Overlaps(*made) {
				return conf.Change{}, &ConflictError{ChangeID: changeID, Winner: ch.ChangeID, Version: ch.Version}
			}
		}
		next, after, err := build(cfg, changeID, edit)
		if err != nil {
			return conf.Change{}, err
		}
		if made == nil {
			made = &next
		}
		won, err := s.create(ctx, next)
		if err != nil {
			return conf.Change{}, err
		}
		if won {
			return next, s.advance(ctx, after, next.Version)
		}
	}
	return conf.Change{}, &ConflictError{ChangeID: changeID, Winner: "of several others", Version: made.Version}
}

// build computes the next change and the configuration after it, and checks it.
func build(cfg *conf.Config, changeID string, edit Edit) (conf.Change, *conf.Config, error) {
	put, del, err := edit(cfg)
	if err != nil {
		return conf.Change{}, nil, err
	}
	ch := conf.Change{Version: cfg.Version + 1, ChangeID: changeID, Put: put, Delete: del}
	after, err := cfg.Apply(ch)
	if err != nil {
		return ch, nil, err
	}
	return ch, after, after.Validate()
}

// create tries to take the change's number. An answer that got lost is settled
// by reading the key back; trying again is safe, because the key can be created
// only once.
func (s *Store) create(ctx context.Context, ch conf.Change) (bool, error) {
	data, err := json.Marshal(ch)
	if err != nil {
		return false, err
	}
	var last error
	for range settleTries {
		won, err := s.kv.CompareAndSwap(ctx, changeKey(ch.Version), data, 0)
		if err == nil && won {
			return true, nil
		}
		if err == nil {
			var holder conf.Change
			var found bool
			holder, found, err = s.Change(ctx, ch.Version)
			if err == nil && found {
				return holder.ChangeID == ch.ChangeID, nil
			}
		}
		last = err
		select {
		case <-time.After(settlePause):
		case <-ctx.Done():
			return false, &UnresolvedError{ChangeID: ch.ChangeID, Err: ctx.Err()}
		}
	}
	return false, &UnresolvedError{ChangeID: ch.ChangeID, Err: last}
}

// advance moves the head up to a version, writing a snapshot when one is due.
// A failure here is no failure of the change: relays find it behind the head.
func (s *Store) advance(ctx context.Context, cfg *conf.Config, version uint64) error {
	for range maxRebases {
		head, index, err := s.WatchHead(ctx, 0, 0)
		if err != nil {
			return nil
		}
		if head.Version >= version {
			return nil
		}
		old := head
		head.Version = version
		due := version-head.Snapshot >= snapshotEvery && cfg.Version == version
		if due {
			if head.Parts, err = s.writeSnapshot(ctx, cfg); err != nil {
				return nil
			}
			head.Snapshot, head.Previous, head.PreviousParts = version, old.Snapshot, old.Parts
		}
		data, err := json.Marshal(head)
		if err != nil {
			return err
		}
		won, err := s.kv.CompareAndSwap(ctx, headKey, data, index)
		if err != nil {
			return nil
		}
		if won && due {
			s.trim(ctx, old)
		}
		if won {
			return nil
		}
	}
	return nil
}

// trim deletes what no reader needs once a snapshot follows that of old: the
// changes up to old's snapshot and the snapshot before it. A change ID is so
// remembered for at least snapshotEvery changes.
func (s *Store) trim(ctx context.Context, old Head) {
	for v := old.Previous + 1; v <= old.Snapshot; v++ {
		if s.kv.Delete(ctx, changeKey(v)) != nil {
			return
		}
	}
	for part := range old.PreviousParts {
		if s.kv.Delete(ctx, partKey(old.Previous, part)) != nil {
			return
		}
	}
}

// Repair moves the head up to a change that its author could not announce.
func (s *Store) Repair(ctx context.Context, version uint64) {
	if _, found, err := s.Change(ctx, version); err == nil && found {
		_ = s.advance(ctx, &conf.Config{}, version)
	}
}
