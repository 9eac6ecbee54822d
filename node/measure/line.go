// Package measure reads the logs of a day's hosts and tells how well the system
// decided: how long writes were unavailable when a primary was lost, and where
// reads were served.
package measure

import (
	"encoding/json"
	"time"

	"github.com/dotterelswitch/dotterelswitch/node/eventlog"
)

// Line is one line of a log, decoded as far as the measures need it.
type Line struct {
	Time     time.Time `json:"time"`
	Host     string    `json:"host"`
	Event    int       `json:"event"`
	Service  string    `json:"service"`
	Upstream string    `json:"upstream"`
	Was      string    `json:"was"`
	Source   string    `json:"source"`
	// AliveAgo is how long before the line the newest thing that the member answered
	// was sent, in milliseconds.
	AliveAgo    float64 `json:"alive_ms_ago"`
	Consistency string  `json:"consistency"`
	// The sources of reads, as counts.
	Replica        int `json:"replica"`
	PrimaryByRoute int `json:"primary_by_route"`
	PrimaryNoFloor int `json:"primary_no_floor"`
	PrimaryBehind  int `json:"primary_behind"`
	PrimaryDoubt   int `json:"primary_doubt"`
	PrimarySooner  int `json:"primary_sooner"`
	// Talk is what the host sent for control, as counts by purpose.
	Talk map[string]int `json:"talk"`
}

// Parse decodes a line. It reports false for lines that are no event.
func Parse(text string) (Line, bool) {
	var l Line
	object, found := eventlog.JSONObject(text)
	if !found || json.Unmarshal([]byte(object), &l) != nil || l.Event == 0 {
		return Line{}, false
	}
	return l, true
}
