package confstore

import (
	"context"
	"encoding/json"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/conf"
)

const (
	// maxRebaseAttempts bounds the attempts to apply a change to a newer
	// version.
	maxRebaseAttempts = 50
	// maxCreateAttempts and createRetryInterval bound the attempts to resolve
	// the outcome of a write whose answer was lost.
	maxCreateAttempts   = 6
	createRetryInterval = 500 * time.Millisecond
)

// Edit computes a change from the configuration that it applies to.
type Edit func(cfg *conf.Config) (conf.Items, conf.Names, error)

// Submit appends a change to the log and returns the accepted change. A change
// ID that is already in the log is not applied again. If other changes are
// accepted concurrently, the change is recomputed on the newer version, unless
// they affect the same items: then Submit returns a *ConflictError.
func (s *Store) Submit(ctx context.Context, changeID string, edit Edit) (conf.Change, error) {
	var first *conf.Change
	for range maxRebaseAttempts {
		cfg, changes, err := s.Load(ctx)
		if err != nil {
			return conf.Change{}, err
		}
		for _, ch := range changes {
			if ch.ChangeID == changeID {
				return ch, s.advanceHead(ctx, cfg, ch.Version)
			}
			if first != nil && ch.Version >= first.Version && ch.Overlaps(*first) {
				return conf.Change{}, &ConflictError{ChangeID: changeID, AcceptedID: ch.ChangeID, Version: ch.Version}
			}
		}
		next, updated, err := buildChange(cfg, changeID, edit)
		if err != nil {
			return conf.Change{}, err
		}
		if first == nil {
			first = &next
		}
		created, err := s.createChange(ctx, next)
		if err != nil {
			return conf.Change{}, err
		}
		if created {
			return next, s.advanceHead(ctx, updated, next.Version)
		}
	}
	return conf.Change{}, &ConflictError{ChangeID: changeID, AcceptedID: "of several others", Version: first.Version}
}

// buildChange computes the next change and the validated configuration that
// results from it.
func buildChange(cfg *conf.Config, changeID string, edit Edit) (conf.Change, *conf.Config, error) {
	put, del, err := edit(cfg)
	if err != nil {
		return conf.Change{}, nil, err
	}
	ch := conf.Change{Version: cfg.Version + 1, ChangeID: changeID, Put: put, Delete: del}
	updated, err := cfg.Apply(ch)
	if err != nil {
		return ch, nil, err
	}
	return ch, updated, updated.Validate()
}

// createChange tries to create the key of the change's version and reports
// whether the key holds this change. If the answer is lost, it reads the key
// back; retrying is safe, because the key can be created only once.
func (s *Store) createChange(ctx context.Context, ch conf.Change) (bool, error) {
	data, err := json.Marshal(ch)
	if err != nil {
		return false, err
	}
	var lastErr error
	for range maxCreateAttempts {
		created, err := s.kv.CompareAndSwap(ctx, changeKey(ch.Version), data, 0)
		if err == nil && created {
			return true, nil
		}
		if err == nil {
			var existing conf.Change
			var found bool
			existing, found, err = s.Change(ctx, ch.Version)
			if err == nil && found {
				return existing.ChangeID == ch.ChangeID, nil
			}
		}
		lastErr = err
		select {
		case <-time.After(createRetryInterval):
		case <-ctx.Done():
			return false, &OutcomeUnknownError{ChangeID: ch.ChangeID, Err: ctx.Err()}
		}
	}
	return false, &OutcomeUnknownError{ChangeID: ch.ChangeID, Err: lastErr}
}

// advanceHead advances the head to a version and writes a snapshot if one is due.
// Store failures are ignored, because the change is accepted already and relays
// repair the head.
func (s *Store) advanceHead(ctx context.Context, cfg *conf.Config, version uint64) error {
	for range maxRebaseAttempts {
		head, index, err := s.WatchHead(ctx, 0, 0)
		if err != nil {
			return nil
		}
		if head.Version >= version {
			return nil
		}
		oldHead := head
		head.Version = version
		snapshotDue := version-head.Snapshot >= changesPerSnapshot && cfg.Version == version
		if snapshotDue {
			if head.Parts, err = s.writeSnapshot(ctx, cfg); err != nil {
				return nil
			}
			head.Snapshot, head.Previous, head.PreviousParts = version, oldHead.Snapshot, oldHead.Parts
		}
		data, err := json.Marshal(head)
		if err != nil {
			return err
		}
		swapped, err := s.kv.CompareAndSwap(ctx, headKey, data, index)
		if err != nil {
			return nil
		}
		if swapped && snapshotDue {
			s.trimLog(ctx, oldHead)
		}
		if swapped {
			return nil
		}
	}
	return nil
}

// trimLog deletes the changes up to the snapshot of the replaced head, and the
// snapshot before that one. Change IDs therefore stay in the log for at least
// changesPerSnapshot changes.
func (s *Store) trimLog(ctx context.Context, oldHead Head) {
	for v := oldHead.Previous + 1; v <= oldHead.Snapshot; v++ {
		if s.kv.Delete(ctx, changeKey(v)) != nil {
			return
		}
	}
	for part := range oldHead.PreviousParts {
		if s.kv.Delete(ctx, partKey(oldHead.Previous, part)) != nil {
			return
		}
	}
}

// RepairHead advances the head to a version if that change exists, in case its
// author failed before advancing the head.
func (s *Store) RepairHead(ctx context.Context, version uint64) {
	if _, found, err := s.Change(ctx, version); err == nil && found {
		_ = s.advanceHead(ctx, &conf.Config{}, version)
	}
}
