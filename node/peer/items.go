package peer

import (
	"github.com/dotterelswitch/dotterelswitch/core/store"
	"github.com/dotterelswitch/dotterelswitch/node/peer/peerpb"
)

func itemsToProto(items []store.Item) []*peerpb.StoreItem {
	out := make([]*peerpb.StoreItem, 0, len(items))
	for _, i := range items {
		out = append(out, &peerpb.StoreItem{Key: i.Key, Value: i.Value, Revision: uint64(i.Revision), Deleted: i.Deleted})
	}
	return out
}

// itemsFromProto decodes items. It fails if a compressed value cannot be read.
func itemsFromProto(items []*peerpb.StoreItem) ([]store.Item, error) {
	out := make([]store.Item, 0, len(items))
	for _, i := range items {
		value := i.GetValue()
		if compressed := i.GetCompressedValue(); len(compressed) > 0 {
			var err error
			if value, err = decompress(compressed); err != nil {
				return nil, err
			}
		}
		out = append(out, store.Item{Key: i.GetKey(), Value: value, Revision: store.Revision(i.GetRevision()), Deleted: i.GetDeleted()})
	}
	return out, nil
}
