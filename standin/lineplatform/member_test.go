package lineplatform_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/standin/lineplatform"
)

// TestOverlappingCrashesOfAMember: the end of each crash starts the member, and
// the second finds it up.
func TestOverlappingCrashesOfAMember(t *testing.T) {
	p, err := lineplatform.Start()
	require.NoError(t, err)
	defer p.Close()
	g, err := p.AddGroup("svc", lineplatform.Options{Members: 3, Slots: 1, MaxConnections: 4, Work: time.Millisecond, Zones: []string{"a"}})
	require.NoError(t, err)
	m := g.Members()[1]
	m.Crash()
	m.Crash()
	require.NoError(t, m.Restart())
	require.NoError(t, m.Restart())
}
