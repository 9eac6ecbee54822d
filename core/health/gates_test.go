package health_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/health"
)

// TestFrozenGateIsPassedOver replays a gate that freezes in the middle of
// traffic: what comes after a quarter of a second goes elsewhere, long before
// the first statement times out.
func TestFrozenGateIsPassedOver(t *testing.T) {
	var g health.Gates
	for i := range 10 {
		g.Started("a", time.Duration(i)*20*ms)
	}
	g.Ended("a", true, 190*ms)
	require.True(t, g.Usable("a", 190*ms+health.SilentGate))
	require.False(t, g.Usable("a", 191*ms+health.SilentGate))
	require.True(t, g.Usable("b", time.Second))
	g.Ended("a", true, 2*time.Second)
	require.True(t, g.Usable("a", 2*time.Second), "it has thawed")
}

func TestIdleGateIsNotSilent(t *testing.T) {
	var g health.Gates
	g.Started("a", 0)
	g.Ended("a", true, 10*ms)
	require.True(t, g.Usable("a", time.Hour))
}

func TestFailingGateIsTriedMoreRarely(t *testing.T) {
	var g health.Gates
	now := time.Duration(0)
	var pauses []time.Duration
	for range 6 {
		g.Started("a", now)
		g.Ended("a", false, now)
		pause := time.Duration(0)
		for !g.Usable("a", now+pause) {
			pause += 100 * ms
		}
		pauses = append(pauses, pause)
		now += pause
	}
	require.Equal(t, []time.Duration{400 * ms, 800 * ms, 1600 * ms, 3200 * ms, 5000 * ms, 5000 * ms}, pauses)
	g.Started("a", now)
	g.Ended("a", true, now)
	require.True(t, g.Usable("a", now))
}

// TestSilentGateIsLookedAtWithinItsCallersObjective: the one statement that a host
// of a large fleet has on a gate shows a cut sooner than its objective is over, with
// time left to run it elsewhere.
func TestSilentGateIsLookedAtWithinItsCallersObjective(t *testing.T) {
	const objective, look, rest = 500 * ms, 200 * ms, 100 * ms
	var g health.Gates
	require.False(t, g.Due("a", time.Second), "nothing is outstanding")
	g.Started("a", time.Second)
	require.False(t, g.Due("a", time.Second+health.LookAfter-1))
	require.True(t, g.Due("a", time.Second+health.LookAfter))
	require.LessOrEqual(t, health.LookAfter+look+rest, objective)
	g.Alive("a", 1100*ms)
	require.False(t, g.Due("a", time.Second+health.LookAfter), "it has given a sign of life")
	g.Ended("a", true, 1200*ms)
	require.False(t, g.Due("a", 2*time.Second))
}
