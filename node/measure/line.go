// Package measure computes statistics from the hosts' logs: how long writes were
// unavailable after the loss of a primary, where reads were served, and how many
// control messages were sent.
package measure

import (
	"encoding/json"
	"time"

	"github.com/dotterelswitch/dotterelswitch/node/eventlog"
)

// Line is one line of a log, with the fields that the statistics need.
type Line struct {
	Time     time.Time `json:"time"`
	Host     string    `json:"host"`
	Event    int       `json:"event"`
	Service  string    `json:"service"`
	Upstream string    `json:"upstream"`
	Was      string    `json:"was"`
	Source   string    `json:"source"`
	// AliveAgoMillis is the time from sending the latest request that the member
	// answered until this line.
	AliveAgoMillis float64 `json:"alive_ms_ago"`
	Consistency    string  `json:"consistency"`
	// The counts of reads: served by a replica, or by the primary for one of the reasons.
	Replica                int `json:"replica"`
	PrimaryByRoute         int `json:"primary_by_route"`
	PrimaryNoFloor         int `json:"primary_no_floor"`
	PrimaryBehind          int `json:"primary_behind"`
	PrimaryReplicasSuspect int `json:"primary_doubt"`
	PrimaryFaster          int `json:"primary_sooner"`
	// ControlTraffic counts the control messages that the host sent, by purpose.
	ControlTraffic map[string]int `json:"talk"`
}

// Parse decodes a line. It reports false for lines that are not events.
func Parse(text string) (Line, bool) {
	var l Line
	object, found := eventlog.JSONObject(text)
	if !found || json.Unmarshal([]byte(object), &l) != nil || l.Event == 0 {
		return Line{}, false
	}
	return l, true
}
