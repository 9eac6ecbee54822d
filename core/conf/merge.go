package conf

import (
	"cmp"
	"slices"
)

// merge returns the items of old, which are sorted by name, with the items in put
// added or replaced and the deleted ones removed. It returns old itself if put and
// deleted are empty.
func merge[T any](old, put []T, deleted []string, name func(T) string) []T {
	if len(put) == 0 && len(deleted) == 0 {
		return old
	}
	put = slices.Clone(put)
	slices.SortStableFunc(put, func(a, b T) int { return cmp.Compare(name(a), name(b)) })
	// dropped holds the names of old items that are deleted or replaced.
	dropped := make(map[string]bool, len(put)+len(deleted))
	for _, n := range deleted {
		dropped[n] = true
	}
	for _, item := range put {
		dropped[name(item)] = true
	}
	out := make([]T, 0, len(old)+len(put))
	next := 0
	for _, item := range old {
		for next < len(put) && name(put[next]) < name(item) {
			out = append(out, put[next])
			next++
		}
		if !dropped[name(item)] {
			out = append(out, item)
		}
	}
	return append(out, put[next:]...)
}

// find looks up an item by name in a list that is sorted by name.
func find[T any](items []T, key string, name func(T) string) (T, bool) {
	i, found := slices.BinarySearchFunc(items, key, func(item T, n string) int { return cmp.Compare(name(item), n) })
	if !found {
		var zero T
		return zero, false
	}
	return items[i], true
}
