package peer

import (
	"context"
	"errors"
	"sync"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"github.com/dotterelswitch/dotterelswitch/core/bootstrap"
	"github.com/dotterelswitch/dotterelswitch/core/store"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
	"github.com/dotterelswitch/dotterelswitch/node/peer/peerpb"
	"github.com/dotterelswitch/dotterelswitch/node/registry"
)

// snapshotTTL is how long an encoded snapshot is sent to other hosts. When many hosts start
// together it is encoded once; they receive what is newer as changes.
const snapshotTTL = time.Second

// encodedSnapshot caches the encoded snapshot of this host. It is safe for concurrent
// use.
type encodedSnapshot struct {
	// pacer admits the copies that this host sends.
	pacer *bootstrap.Pacer

	mu        sync.Mutex
	encoded   []byte
	encodedAt time.Duration
}

// errSnapshotsQueued refuses a copy while others take this host's link.
var errSnapshotsQueued = errors.New("this host sends as many copies as its link carries")

// get returns the cached snapshot, or encodes the one that read returns. It fails with
// errSnapshotsQueued while the link is full.
func (s *encodedSnapshot) get(now time.Duration, read func() (store.Listing, error)) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.encoded == nil || now-s.encodedAt >= snapshotTTL {
		l, err := read()
		if err != nil {
			s.encoded = nil
			return nil, err
		}
		if s.encoded, err = encodeSnapshot(l); err != nil {
			s.encoded = nil
			return nil, err
		}
		s.encodedAt = now
	}
	if !s.pacer.Admit(len(s.encoded), now) {
		return nil, errSnapshotsQueued
	}
	return s.encoded, nil
}

func encodeSnapshot(l store.Listing) ([]byte, error) {
	data, err := proto.Marshal(&peerpb.ListingResponse{Revision: uint64(l.Revision), Items: itemsToProto(l.Items)})
	if err != nil {
		return nil, err
	}
	return compress(data)
}

func decodeSnapshot(encoded []byte) (store.Listing, error) {
	data, err := decompress(encoded)
	if err != nil {
		return store.Listing{}, err
	}
	var m peerpb.ListingResponse
	if err := proto.Unmarshal(data, &m); err != nil {
		return store.Listing{}, err
	}
	items, err := itemsFromProto(m.GetItems())
	return store.Listing{Revision: store.Revision(m.GetRevision()), Items: items}, err
}

// Snapshot implements peerpbconnect.GateHandler.
func (s *gateServer) Snapshot(context.Context, *connect.Request[peerpb.SnapshotRequest]) (*connect.Response[peerpb.SnapshotResponse], error) {
	encoded, err := s.snapshot.get(clock.Now(), s.handler.Snapshot)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(&peerpb.SnapshotResponse{Listing: encoded}), nil
}

// Snapshot returns another host's copy of the store. The error is a
// *registry.RelayRefusedError if the other host has refused it.
func (c *GateClient) Snapshot(ctx context.Context, address string) (store.Listing, error) {
	resp, err := c.gate(address).uncompressed.Snapshot(ctx, connect.NewRequest(&peerpb.SnapshotRequest{}))
	if connect.IsWireError(err) {
		return store.Listing{}, &registry.RelayRefusedError{Err: callError(address, err)}
	}
	if err != nil {
		return store.Listing{}, callError(address, err)
	}
	l, err := decodeSnapshot(resp.Msg.GetListing())
	if err != nil {
		return store.Listing{}, callError(address, err)
	}
	return l, nil
}
