// Package explain finds out why a request failed, from the logs of several hosts.
package explain

import (
	"encoding/json"
	"time"

	"github.com/dotterelswitch/dotterelswitch/node/eventlog"
)

// Line is a log line with the fields that an explanation needs.
type Line struct {
	Time     time.Time `json:"time"`
	Host     string    `json:"host"`
	Event    int       `json:"event"`
	Name     string    `json:"name"`
	Request  string    `json:"request"`
	Service  string    `json:"service"`
	Upstream string    `json:"upstream"`
	Code     string    `json:"code"`
	Cause    string    `json:"cause"`
	Primary  bool      `json:"primary"`
	// Text is the JSON object of the line.
	Text string `json:"-"`
}

// Parse decodes a log line. It reports false for a line that is not an event.
func Parse(text string) (Line, bool) {
	var l Line
	object, found := eventlog.JSONObject(text)
	if !found || json.Unmarshal([]byte(object), &l) != nil || l.Event == 0 {
		return Line{}, false
	}
	l.Text = object
	return l, true
}
