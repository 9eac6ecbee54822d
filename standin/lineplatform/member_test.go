package lineplatform_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/standin/lineplatform"
)

// TestOverlappingCrashesOfAMember checks that a second Restart of a member that is
// already running does not fail.
func TestOverlappingCrashesOfAMember(t *testing.T) {
	p, err := lineplatform.Start()
	require.NoError(t, err)
	defer p.Close()
	g, err := p.AddGroup("svc", lineplatform.Options{Members: 3, Slots: 1, MaxConnections: 4, ServiceTime: time.Millisecond, Zones: []string{"a"}})
	require.NoError(t, err)
	m := g.Members()[1]
	m.Crash()
	m.Crash()
	require.NoError(t, m.Restart())
	require.NoError(t, m.Restart())
}

// TestAddressIsReadDuringRestart guards against a data race, which the race detector
// reports.
func TestAddressIsReadDuringRestart(t *testing.T) {
	p, err := lineplatform.Start()
	require.NoError(t, err)
	t.Cleanup(p.Close)
	g, err := p.AddGroup("svc", lineplatform.Options{Members: 1, Slots: 1, MaxConnections: 4, ServiceTime: time.Millisecond, Zones: []string{"a"}})
	require.NoError(t, err)
	m := g.Members()[0]
	m.Crash()
	restarted := make(chan error)
	go func() { restarted <- m.Restart() }()
	address := m.AdvertisedAddress()
	require.NoError(t, <-restarted)
	require.Equal(t, address, m.AdvertisedAddress())
}
