package worktime_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/worktime"
)

const ms = time.Millisecond

// TestDifferenceShowsThroughTheQueue: the queue of a member swings between nothing
// and a quarter of a second; one kind takes 6 ms more and is asked less often.
func TestDifferenceShowsThroughTheQueue(t *testing.T) {
	var times worktime.Times
	now := time.Duration(0)
	for i := range 6000 {
		now += 5 * ms
		queue := time.Duration(i%400) * 250 * ms / 400
		times.Ran("short", queue+9*ms, now)
		if i%5 == 0 {
			times.Ran("long", queue+15*ms, now)
		}
	}
	require.Zero(t, times.Extra("short", now))
	require.InDelta(t, float64(6*ms), float64(times.Extra("long", now)), float64(3*ms))
	require.Zero(t, times.Extra("unknown", now))
}

// TestKindThatIsNotAskedAnyMoreDoesNotCount: its mean is of another queue.
func TestKindThatIsNotAskedAnyMoreDoesNotCount(t *testing.T) {
	var times worktime.Times
	times.Ran("gone", ms, time.Second)
	times.Ran("long", 15*ms, 20*time.Second)
	require.Zero(t, times.Extra("long", 20*time.Second))
}
