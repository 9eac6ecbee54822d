package peer

import (
	"bytes"
	"errors"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/bootstrap"
	"github.com/dotterelswitch/dotterelswitch/core/store"
	"github.com/dotterelswitch/dotterelswitch/node/registry"
)

func TestSnapshotIsTransferredUnchanged(t *testing.T) {
	l := store.Listing{Revision: 7, Items: []store.Item{{Key: "a", Value: []byte("1"), Revision: 3}, {Key: "b", Revision: 7}}}
	encoded, err := encodeSnapshot(l)
	require.NoError(t, err)
	decoded, err := decodeSnapshot(encoded)
	require.NoError(t, err)
	require.Equal(t, l.Revision, decoded.Revision)
	require.Equal(t, l.Items[0], decoded.Items[0])
	require.Len(t, decoded.Items, 2)
}

// TestUnreadableSnapshotIsRejected covers damaged, cut and oversized snapshots.
func TestUnreadableSnapshotIsRejected(t *testing.T) {
	encoded, err := encodeSnapshot(store.Listing{Revision: 7, Items: []store.Item{{Key: "a", Value: bytes.Repeat([]byte("x"), 100)}}})
	require.NoError(t, err)
	for name, data := range map[string][]byte{"empty": nil, "no gzip": []byte("listing"), "cut": encoded[:len(encoded)/2], "no message": compressed(t, []byte("\xff\xff"))} {
		_, err := decodeSnapshot(data)
		require.Error(t, err, name)
	}
	_, err = decodeSnapshot(compressed(t, make([]byte, maxDecodedBytes+1)))
	require.ErrorIs(t, err, errDecodedTooLarge)
}

func compressed(t *testing.T, data []byte) []byte {
	t.Helper()
	out, err := compress(data)
	require.NoError(t, err)
	return out
}

// TestSnapshotIsEncodedOnceForManyHosts guards against a relay that encodes the store for
// each of the hosts that start together.
func TestSnapshotIsEncodedOnceForManyHosts(t *testing.T) {
	cache := encodedSnapshot{pacer: bootstrap.NewPacer(0)}
	reads := 0
	read := func() (store.Listing, error) {
		reads++
		return store.Listing{Revision: 7}, nil
	}
	for range 100 {
		_, err := cache.get(time.Minute, read)
		require.NoError(t, err)
	}
	require.Equal(t, 1, reads)
	_, err := cache.get(time.Minute+snapshotTTL, read)
	require.NoError(t, err)
	require.Equal(t, 2, reads)

	_, err = cache.get(time.Hour, func() (store.Listing, error) { return store.Listing{}, errors.New("no contact") })
	require.Error(t, err, "a host that has lost contact sends no old snapshot")
	_, err = cache.get(time.Hour, read)
	require.NoError(t, err)
	require.Equal(t, 3, reads)
}

// largeSnapshotGate has a copy of the store that hardly compresses.
type largeSnapshotGate struct{ stubGate }

func (largeSnapshotGate) Snapshot() (store.Listing, error) {
	value := make([]byte, 100_000)
	rng := rand.New(rand.NewPCG(1, 2))
	for i := range value {
		value[i] = byte(rng.Uint32())
	}
	return store.Listing{Revision: 7, Items: []store.Item{{Key: "a", Value: value}}}, nil
}

// TestSnapshotBeyondTheLinkIsRefusedAtOnce guards against copies that take longer than the
// hosts wait for them. The refusal tells that this host runs.
func TestSnapshotBeyondTheLinkIsRefusedAtOnce(t *testing.T) {
	address := serveHandler(t, largeSnapshotGate{}, 1)
	c := NewGateClient(t.Context(), (&net.Dialer{}).DialContext, "host")
	defer c.Close()
	l, err := c.Snapshot(t.Context(), address)
	require.NoError(t, err)
	require.Len(t, l.Items, 1)
	_, err = c.Snapshot(t.Context(), address)
	var refused *registry.RelayRefusedError
	require.ErrorAs(t, err, &refused)

	_, err = c.Snapshot(t.Context(), "127.0.0.1:1")
	require.Error(t, err)
	require.False(t, errors.As(err, &refused), "a host that does not answer")
}
