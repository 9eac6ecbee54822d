package peer

import (
	"bytes"
	"compress/gzip"
	"errors"
	"io"
	"sync"

	"github.com/dotterelswitch/dotterelswitch/core/store"
	"github.com/dotterelswitch/dotterelswitch/node/peer/peerpb"
)

const (
	// largeValueBytes is the size from which on a value is compressed for followers, once
	// for all of them. Only the configuration is that large.
	largeValueBytes = 16 << 10
	// maxCachedValues bounds the compressed values that are kept.
	maxCachedValues = 4
	// maxDecodedBytes limits the size of what another host has compressed: the snapshot of
	// a store with 27,000 services of three members each takes about 30 MB.
	maxDecodedBytes = 64 << 20
)

// errDecodedTooLarge rejects data of more than maxDecodedBytes.
var errDecodedTooLarge = errors.New("the decompressed data exceeds the maximum size")

// largeValues compresses large values once for all followers. A relay that compressed the
// configuration for each of 165 followers would be busy for seconds. It is safe for
// concurrent use.
type largeValues struct {
	mu    sync.Mutex
	byKey map[string]compressedValue
}

// compressedValue is the compressed value of a key at a revision.
type compressedValue struct {
	revision store.Revision
	data     []byte
}

// itemsToProto encodes items for a follower that accepts compressed values.
func (v *largeValues) itemsToProto(items []store.Item) ([]*peerpb.StoreItem, error) {
	out := itemsToProto(items)
	for n, i := range items {
		if len(i.Value) < largeValueBytes {
			continue
		}
		data, err := v.compressed(i)
		if err != nil {
			return nil, err
		}
		out[n].Value, out[n].CompressedValue = nil, data
	}
	return out, nil
}

func (v *largeValues) compressed(i store.Item) ([]byte, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if known, found := v.byKey[i.Key]; found && known.revision == i.Revision {
		return known.data, nil
	}
	data, err := compress(i.Value)
	if err != nil {
		return nil, err
	}
	if v.byKey == nil || len(v.byKey) >= maxCachedValues {
		v.byKey = map[string]compressedValue{}
	}
	v.byKey[i.Key] = compressedValue{revision: i.Revision, data: data}
	return data, nil
}

func compress(data []byte) ([]byte, error) {
	var out bytes.Buffer
	w := gzip.NewWriter(&out)
	if _, err := w.Write(data); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

func decompress(data []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	out, err := io.ReadAll(io.LimitReader(r, maxDecodedBytes+1))
	if err == nil && len(out) > maxDecodedBytes {
		err = errDecodedTooLarge
	}
	return out, err
}
