package succession

import (
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/logpos"
)

// AckReport is what a host knows of the commits of a group that it has acknowledged to its
// callers. Times are on the clock of the host that asks.
type AckReport struct {
	// Newest is the position of the newest of these commits; zero if there was none since
	// the host started.
	Newest logpos.Position
	// ReceivedAt is not later than the time when the host received the statement of that
	// commit. Commits that were acknowledged before have lower positions.
	ReceivedAt time.Duration
	// RunningSince is not earlier than the start of the host's process.
	RunningSince time.Duration
	// GoesOn is set if the host has not stopped to acknowledge commits.
	GoesOn bool
}

// AckSurvey is what the hosts have reported of the commits of a group.
type AckSurvey struct {
	// Newest is the newest commit that is known to be acknowledged; zero if none is.
	Newest logpos.Position
	// Complete is set if no host can have acknowledged a newer one.
	Complete bool
}

// SurveyAcks evaluates the reports of the hosts of a fleet, by name. A process that ended
// before Newest was written has acknowledged no newer commit, so the survey is complete if
// every other process has answered, and has stopped to acknowledge commits before. fleetSince
// is the time since which the processes of no other host can have run.
func SurveyAcks(hosts []string, reports map[string]AckReport, fleetSince time.Duration) AckSurvey {
	var newest AckReport
	for _, r := range reports {
		if newest.Newest.Less(r.Newest) {
			newest = r
		}
	}
	if newest.Newest.IsZero() || newest.ReceivedAt < fleetSince {
		return AckSurvey{Newest: newest.Newest}
	}
	for _, host := range hosts {
		if r, answered := reports[host]; !answered || r.GoesOn || r.RunningSince > newest.ReceivedAt {
			return AckSurvey{Newest: newest.Newest}
		}
	}
	return AckSurvey{Newest: newest.Newest, Complete: true}
}
