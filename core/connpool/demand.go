package connpool

import (
	"math"
	"time"
)

const (
	// demandDecayTime is the time constant of a team's demand: long enough to span
	// several requests of a team that calls rarely, short enough that a team that
	// has stopped calling soon loses its connection.
	demandDecayTime = 8 * time.Second
	// minTeamDemand is the demand below which the entry of a team is removed.
	minTeamDemand = 0.02
)

// teamDemand estimates how likely each team is to request a connection again, as an
// exponentially decaying count of its requests. Recency alone is a poor
// predictor: the connection used last may belong to a team that calls rarely.
type teamDemand struct {
	teams    map[string]decayedCount
	prunedAt time.Duration
}

// decayedCount is a count that decays exponentially with time.
type decayedCount struct {
	count     float64
	updatedAt time.Duration
}

func newTeamDemand() *teamDemand { return &teamDemand{teams: map[string]decayedCount{}} }

// record counts a request of a team.
func (d *teamDemand) record(team string, now time.Duration) {
	d.teams[team] = decayedCount{count: d.get(team, now) + 1, updatedAt: now}
	d.prune(now)
}

// get returns the current demand of a team.
func (d *teamDemand) get(team string, now time.Duration) float64 {
	c := d.teams[team]
	return c.count * math.Exp(-float64(now-c.updatedAt)/float64(demandDecayTime))
}

// prune removes teams that have not made a request for a long time.
func (d *teamDemand) prune(now time.Duration) {
	if now-d.prunedAt < demandDecayTime {
		return
	}
	d.prunedAt = now
	for team := range d.teams {
		if d.get(team, now) < minTeamDemand {
			delete(d.teams, team)
		}
	}
}
