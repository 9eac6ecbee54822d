package peerpoll_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/peerpoll"
)

// answersOf returns the answers of some hosts that do not reach the store, and of some
// that do.
func answersOf(without, with int) []peerpoll.Answer {
	var out []peerpoll.Answer
	for i := range without + with {
		out = append(out, peerpoll.Answer{Progress: &peerpoll.Progress{ReachesStore: i >= without}})
	}
	return out
}

// TestFleetWithoutStore guards against a host that takes its own cut for an outage of the
// store, and so goes on counting beside the hosts that replace it.
func TestFleetWithoutStore(t *testing.T) {
	const hosts, round = 74, 500 * time.Millisecond
	for _, c := range []struct {
		name    string
		answers []peerpoll.Answer
		want    bool
	}{
		{"all answer", answersOf(4, 0), true},
		{"three of four answer", answersOf(3, 0), true},
		{"half answer", answersOf(2, 0), false},
		{"one reaches the store", answersOf(3, 1), false},
		{"an earlier release does not tell", []peerpoll.Answer{{}, {}, {}, {}}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			var s peerpoll.Survey
			now := time.Duration(0)
			for range 10 {
				now += round
				s.Record(peerpoll.FanOut, c.answers, now)
			}
			require.Equal(t, c.want, s.FleetWithoutStore(hosts, now))
			require.False(t, s.FleetWithoutStore(hosts, now+4*time.Second), "the answers are old")
		})
	}
}

// TestFewAnswersTellNothing guards against a conclusion from one round in a large fleet.
func TestFewAnswersTellNothing(t *testing.T) {
	var s peerpoll.Survey
	require.False(t, s.FleetWithoutStore(74, 0))
	s.Record(4, answersOf(4, 0), time.Second)
	require.False(t, s.FleetWithoutStore(74, time.Second))
	require.True(t, s.FleetWithoutStore(5, time.Second), "all hosts of a small fleet have answered")
}
