// Package confstore keeps the configuration in the platform's key-value store as
// a log of changes. A change is accepted by creating the key of its version with
// compare-and-swap, so each version is assigned once, and a lost answer is
// resolved by reading the key back. Snapshots bound the length of the log; they
// are split into parts to stay below the store's value size limit.
package confstore

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/conf"
	"github.com/dotterelswitch/dotterelswitch/node/consul"
)

const (
	prefix  = "dotterelswitch/config/"
	headKey = prefix + "head"
	// changesPerSnapshot is the number of changes between snapshots.
	changesPerSnapshot = 64
	// maxPartBytes bounds a part of a snapshot; the store accepts values of up
	// to 1 MiB.
	maxPartBytes = 512 * 1024
)

// Head holds the newest version of the log and its snapshots. It may lag behind
// the log: a change is accepted once its own key exists.
type Head struct {
	Version  uint64 `json:"version"`
	Snapshot uint64 `json:"snapshot"`
	Parts    int    `json:"parts"`
	// Previous is the preceding snapshot, which is kept for readers of an older
	// head.
	Previous      uint64 `json:"previous"`
	PreviousParts int    `json:"previous_parts"`
}

// Store reads and changes the configuration in the platform's key-value store.
type Store struct {
	kv consul.Store
}

// New returns a Store backed by kv.
func New(kv consul.Store) *Store { return &Store{kv: kv} }

func changeKey(version uint64) string { return fmt.Sprintf("%schange/%012d", prefix, version) }

func partKey(snapshot uint64, part int) string {
	return fmt.Sprintf("%ssnapshot/%012d/%d", prefix, snapshot, part)
}

// WatchHead returns the head and its index once the index is above afterIndex
// or wait has passed. The index is 0 if the store has no configuration.
func (s *Store) WatchHead(ctx context.Context, afterIndex uint64, wait time.Duration) (Head, uint64, error) {
	v, err := s.kv.Watch(ctx, headKey, afterIndex, wait)
	if err != nil || v.Index == 0 {
		return Head{}, 0, err
	}
	var h Head
	if err := json.Unmarshal(v.Data, &h); err != nil {
		return Head{}, 0, &CorruptValueError{Key: headKey, Err: err}
	}
	return h, v.Index, nil
}

// Change returns the change of a version, or false if it does not exist.
func (s *Store) Change(ctx context.Context, version uint64) (conf.Change, bool, error) {
	key := changeKey(version)
	v, err := s.kv.Get(ctx, key)
	if err != nil || v.Index == 0 {
		return conf.Change{}, false, err
	}
	var ch conf.Change
	if err := json.Unmarshal(v.Data, &ch); err != nil {
		return conf.Change{}, false, &CorruptValueError{Key: key, Err: err}
	}
	return ch, true, nil
}

// Snapshot returns the configuration of a head's snapshot.
func (s *Store) Snapshot(ctx context.Context, h Head) (*conf.Config, error) {
	cfg := &conf.Config{}
	for i := range h.Parts {
		key := partKey(h.Snapshot, i)
		v, err := s.kv.Get(ctx, key)
		if err != nil {
			return nil, err
		}
		var part conf.Config
		if err := json.Unmarshal(v.Data, &part); err != nil {
			return nil, &CorruptValueError{Key: key, Err: err}
		}
		cfg = appendPart(cfg, part)
	}
	return cfg, nil
}

// Load returns the latest configuration and the changes since the snapshot.
func (s *Store) Load(ctx context.Context) (*conf.Config, []conf.Change, error) {
	head, _, err := s.WatchHead(ctx, 0, 0)
	if err != nil {
		return nil, nil, err
	}
	cfg, err := s.Snapshot(ctx, head)
	if err != nil {
		return nil, nil, err
	}
	var changes []conf.Change
	for {
		ch, found, err := s.Change(ctx, cfg.Version+1)
		if err != nil || !found {
			return cfg, changes, err
		}
		if cfg, err = cfg.Apply(ch); err != nil {
			return nil, nil, err
		}
		changes = append(changes, ch)
	}
}
