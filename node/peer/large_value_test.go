package peer

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/store"
)

// TestLargeValuesAreCompressedOnce guards against a relay that compresses a configuration
// for each of its followers.
func TestLargeValuesAreCompressedOnce(t *testing.T) {
	large := bytes.Repeat([]byte("route "), largeValueBytes)
	items := []store.Item{{Key: "config", Value: large, Revision: 7}, {Key: "a", Value: []byte("small"), Revision: 8}}
	var values largeValues
	first, err := values.itemsToProto(items)
	require.NoError(t, err)
	second, err := values.itemsToProto(items)
	require.NoError(t, err)
	require.Same(t, &first[0].CompressedValue[0], &second[0].CompressedValue[0], "compressed once")
	require.Less(t, len(first[0].CompressedValue), len(large)/10)

	decoded, err := itemsFromProto(first)
	require.NoError(t, err)
	require.Equal(t, items, decoded)

	items[0].Revision, items[0].Value = 9, bytes.Repeat([]byte("other "), largeValueBytes)
	third, err := values.itemsToProto(items)
	require.NoError(t, err)
	decoded, err = itemsFromProto(third)
	require.NoError(t, err)
	require.Equal(t, items, decoded, "a new revision is compressed anew")
}

// TestUnreadableValueIsRejected: the follower asks elsewhere.
func TestUnreadableValueIsRejected(t *testing.T) {
	var values largeValues
	encoded, err := values.itemsToProto([]store.Item{{Key: "config", Value: bytes.Repeat([]byte("x"), largeValueBytes), Revision: 7}})
	require.NoError(t, err)
	encoded[0].CompressedValue = encoded[0].CompressedValue[:10]
	_, err = itemsFromProto(encoded)
	require.Error(t, err)
}
