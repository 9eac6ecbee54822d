// Package confstore keeps the configuration in the platform's key-value
// service as a log of changes. A change is accepted by creating its numbered
// key with compare-and-swap, so of two operators exactly one wins each number,
// and an answer that was lost is settled by reading the key back. Snapshots
// bound the log; they are split so that no value nears the service's limit.
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
	// snapshotEvery is how many changes lie between snapshots.
	snapshotEvery = 64
	// maxPart is the largest part of a snapshot, in bytes; the service takes
	// values of up to 1 MiB.
	maxPart = 512 * 1024
)

// Head says where the log stands. It may lag behind the log: a change exists
// once its own key does.
type Head struct {
	Version  uint64 `json:"version"`
	Snapshot uint64 `json:"snapshot"`
	Parts    int    `json:"parts"`
	// Previous is the snapshot before, which readers of an older head may
	// still be reading.
	Previous      uint64 `json:"previous"`
	PreviousParts int    `json:"previous_parts"`
}

// Store is the configuration in the platform's service.
type Store struct {
	kv consul.Store
}

// New returns the configuration kept in kv.
func New(kv consul.Store) *Store { return &Store{kv: kv} }

func changeKey(version uint64) string { return fmt.Sprintf("%schange/%012d", prefix, version) }

func partKey(snapshot uint64, part int) string {
	return fmt.Sprintf("%ssnapshot/%012d/%d", prefix, snapshot, part)
}

// WatchHead waits until the head is past an index or the wait is over. It
// returns the head and its index; a store without configuration has index 0.
func (s *Store) WatchHead(ctx context.Context, after uint64, wait time.Duration) (Head, uint64, error) {
	v, err := s.kv.Watch(ctx, headKey, after, wait)
	if err != nil || v.Index == 0 {
		return Head{}, 0, err
	}
	var h Head
	if err := json.Unmarshal(v.Data, &h); err != nil {
		return Head{}, 0, &DamagedError{Key: headKey, Err: err}
	}
	return h, v.Index, nil
}

// Change returns one change of the log, and false when it does not exist.
func (s *Store) Change(ctx context.Context, version uint64) (conf.Change, bool, error) {
	key := changeKey(version)
	v, err := s.kv.Get(ctx, key)
	if err != nil || v.Index == 0 {
		return conf.Change{}, false, err
	}
	var ch conf.Change
	if err := json.Unmarshal(v.Data, &ch); err != nil {
		return conf.Change{}, false, &DamagedError{Key: key, Err: err}
	}
	return ch, true, nil
}

// Snapshot returns the whole configuration that a head points to.
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
			return nil, &DamagedError{Key: key, Err: err}
		}
		cfg = appendPart(cfg, part)
	}
	return cfg, nil
}

// Load returns the newest configuration and the changes since the snapshot.
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
