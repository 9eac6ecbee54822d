package onplatform_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/standin/lineplatform"
)

// TestRepeatedPromotionIsNotAnotherOne guards against a promotion that is believed to have
// succeeded though the platform has refused its token.
func TestRepeatedPromotionIsNotAnotherOne(t *testing.T) {
	u := startUsers(t, repeatAll)
	g, err := u.AddGroup("svc", lineplatform.Options{Members: 3, Slots: 1, MaxConnections: 4, ServiceTime: time.Millisecond, Zones: []string{"a"}})
	require.NoError(t, err)
	require.NoError(t, u.Promotion.Promote(t.Context(), "svc", g.Members()[1].ID, 5))
	err = u.Promotion.Promote(t.Context(), "svc", g.Members()[2].ID, 4)
	var refused interface{ Refused() bool }
	require.ErrorAs(t, err, &refused)
	require.True(t, refused.Refused(), "%v", err)
}
