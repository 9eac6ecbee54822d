package conf

import (
	"cmp"
	"slices"
)

// merge returns the items of old, which are in order of name, with some put in
// and some deleted. It returns old itself when nothing changes.
func merge[T any](old, put []T, deleted []string, name func(T) string) []T {
	if len(put) == 0 && len(deleted) == 0 {
		return old
	}
	put = slices.Clone(put)
	slices.SortStableFunc(put, func(a, b T) int { return cmp.Compare(name(a), name(b)) })
	gone := make(map[string]bool, len(put)+len(deleted))
	for _, n := range deleted {
		gone[n] = true
	}
	for _, item := range put {
		gone[name(item)] = true
	}
	out := make([]T, 0, len(old)+len(put))
	next := 0
	for _, item := range old {
		for next < len(put) && name(put[next]) < name(item) {
			out = append(out, put[next])
			next++
		}
		if !gone[name(item)] {
			out = append(out, item)
		}
	}
	return append(out, put[next:]...)
}

// find looks an item up by name in a list that is in order of name.
func find[T any](items []T, want string, name func(T) string) (T, bool) {
	i, found := slices.BinarySearchFunc(items, want, func(item T, n string) int { return cmp.Compare(name(item), n) })
	if !found {
		var zero T
		return zero, false
	}
	return items[i], true
}
