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

func itemsFromProto(items []*peerpb.StoreItem) []store.Item {
	out := make([]store.Item, 0, len(items))
	for _, i := range items {
		out = append(out, store.Item{Key: i.GetKey(), Value: i.GetValue(), Revision: store.Revision(i.GetRevision()), Deleted: i.GetDeleted()})
	}
	return out
}
