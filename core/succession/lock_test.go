package succession_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/succession"
)

func TestWhoMayTakeTheLock(t *testing.T) {
	require.True(t, succession.Lock{}.Free("a"))
	require.True(t, succession.Lock{Holder: "b"}.Free("a"), "its holder does nothing")
	require.False(t, succession.Lock{Holder: "b", Acting: true}.Free("a"))
	require.True(t, succession.Lock{Holder: "a", Acting: true}.Free("a"), "the answer to its own attempt was lost")
}

func TestWhoMayActWhileTheStoreIsAway(t *testing.T) {
	voters := []string{"a", "b", "c"}
	mine := succession.Lock{Holder: "a", Revision: 7}
	dead := succession.Opinion{Host: "b", Dead: true}
	require.True(t, succession.MayActAlone("a", mine, []succession.Opinion{dead}, voters))
	require.False(t, succession.MayActAlone("a", mine, nil, voters), "it alone has lost the primary")
	require.False(t, succession.MayActAlone("b", mine, []succession.Opinion{dead}, voters), "it holds no token")
	require.False(t, succession.MayActAlone("a", succession.Lock{}, []succession.Opinion{dead}, voters))
	require.False(t, succession.MayActAlone("a", mine, []succession.Opinion{dead, {Host: "c", StoreReached: true}}, voters),
		"a host that reaches the store may have taken the lock")
	outsider := succession.Opinion{Host: "x", Dead: true}
	require.False(t, succession.MayActAlone("a", mine, []succession.Opinion{outsider}, voters))
}
