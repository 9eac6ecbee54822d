package gateload_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/gateload"
)

const ms = time.Millisecond

var member = gateload.Member{Slots: 4, Gates: 2}

func report(running, waiting int, waits ...time.Duration) gateload.Report {
	return gateload.Report{Running: running, Capacity: 10, Waiting: waiting, ExpectedWait: waits}
}

// TestOldReportForgotten guards against a choice by the load of a second ago.
func TestOldReportForgotten(t *testing.T) {
	var tr gateload.Tracker
	tr.Record("g", report(10, 5, 50*ms, 90*ms), 0)
	e, found := tr.Estimate("g", 7, member, 999*ms)
	require.True(t, found)
	require.Equal(t, 90*ms, e.Wait, "the last entry is for all lower classes")
	_, found = tr.Estimate("g", 0, member, time.Second)
	require.False(t, found)
	require.Empty(t, tr.All(time.Second))
	require.True(t, tr.HasReports(999*ms))
	require.False(t, tr.HasReports(time.Second))
}

// TestReportOfAnotherGateOfTheMember guards against a slow member that looks idle to a
// host whose own gate has not reported lately.
func TestReportOfAnotherGateOfTheMember(t *testing.T) {
	var tr gateload.Tracker
	tr.Record("g1", report(10, 5, 70*ms), 0)
	tr.Record("g2", report(2, 0, 0), 100*ms)
	e, _ := tr.Estimate("g3", 0, member, 200*ms)
	require.Zero(t, e.Wait, "the newest report counts")
	tr.Forget("g2")
	e, _ = tr.Estimate("g3", 0, member, 200*ms)
	require.Equal(t, 70*ms, e.Wait)
	_, found := tr.Get("g3", 200*ms)
	require.False(t, found)
}

// TestOwnStatementsSinceReportCount guards against a burst of one host to the gate that
// reported the shortest queue.
func TestOwnStatementsSinceReportCount(t *testing.T) {
	var tr gateload.Tracker
	tr.Record("g", report(2, 0, 0), 0)
	tr.ObserveServiceTime(20*ms, report(2, 0, 0), member, 0)
	calm, _ := tr.Estimate("g", 0, member, 10*ms)
	require.Equal(t, gateload.Estimate{Service: 20 * ms}, calm)
	for range 18 {
		tr.Started(gateload.Call{Gate: "g", StartedAt: 10 * ms})
	}
	busy, _ := tr.Estimate("g", 0, member, 10*ms)
	require.Equal(t, gateload.Estimate{Service: 60 * ms, Wait: 60 * ms}, busy)
}

// TestSlotTimeFollowsMember guards against a member that stays unused after it was slow,
// and against a long queue that is taken for a slow member.
func TestSlotTimeFollowsMember(t *testing.T) {
	var tr gateload.Tracker
	tr.Record("g", report(10, 0, 0), 0)
	tr.ObserveServiceTime(100*ms, report(10, 0, 0), member, 0)
	tr.Record("g", report(2, 0, 0), 0)
	e, _ := tr.Estimate("g", 0, member, 0)
	require.Equal(t, 20*ms, e.Service, "five statements per slot were on the member")
	tr.ObserveServiceTime(100*ms, report(2, 0, 0), member, 0)
	e, _ = tr.Estimate("g", 0, member, 0)
	require.Equal(t, 60*ms, e.Service)
}

// TestOccupancyFromAllReports guards against a member that looks loaded because one of its
// gates runs a statement more than the others.
func TestOccupancyFromAllReports(t *testing.T) {
	var tr gateload.Tracker
	many := gateload.Member{Slots: 4, Gates: 6}
	tr.Record("g1", report(0, 0, 0), 0)
	tr.ObserveServiceTime(20*ms, report(0, 0, 0), many, 0)
	tr.Record("g2", report(3, 0, 0), 0)
	e, _ := tr.Estimate("g2", 0, many, 0)
	require.Equal(t, 52500*time.Microsecond, e.Service, "3 on g2, and 1.5 on each of the five others")
	tr.Record("g3", report(0, 0, 0), 0)
	e, _ = tr.Estimate("g2", 0, many, 0)
	require.Equal(t, 40*ms, e.Service)
}

// TestOldestCallOfClass guards against judging a member by a statement that waits at its
// gate only because it is less important.
func TestOldestCallOfClass(t *testing.T) {
	var tr gateload.Tracker
	slow, urgent := gateload.Call{Gate: "g", Priority: 2}, gateload.Call{Gate: "g", StartedAt: 300 * ms}
	tr.Started(slow)
	tr.Started(urgent)
	require.Equal(t, 100*ms, tr.OldestCall(0, 400*ms))
	require.Equal(t, 400*ms, tr.OldestCall(2, 400*ms))
	tr.Ended(slow, true)
	require.Equal(t, 100*ms, tr.OldestCall(2, 400*ms))
}

// TestLongStatementIsNoStall guards against avoiding a member because one statement runs
// for long while later ones are answered.
func TestLongStatementIsNoStall(t *testing.T) {
	var tr gateload.Tracker
	tr.Started(gateload.Call{Gate: "g", Priority: 1})
	tr.Ended(gateload.Call{Gate: "g", Priority: 1, StartedAt: 100 * ms}, false)
	tr.Ended(gateload.Call{Gate: "g", Priority: 0, StartedAt: 100 * ms}, true)
	require.Equal(t, 400*ms, tr.OldestCall(1, 400*ms), "a refusal or a more important statement shows nothing")
	tr.Ended(gateload.Call{Gate: "g", Priority: 2, StartedAt: 100 * ms}, true)
	require.Zero(t, tr.OldestCall(1, 400*ms))
}
