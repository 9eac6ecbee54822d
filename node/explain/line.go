// Package explain tells the story of one request from the logs of several
// hosts.
package explain

import (
	"encoding/json"
	"time"

	"github.com/dotterelswitch/dotterelswitch/node/eventlog"
)

// Line is one line of a log, decoded as far as a story needs it.
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
	// Text is the line as it was written.
	Text string `json:"-"`
}

// Parse decodes a line. It reports false for lines that are no event.
func Parse(text string) (Line, bool) {
	var l Line
	object, found := eventlog.Object(text)
	if !found || json.Unmarshal([]byte(object), &l) != nil || l.Event == 0 {
		return Line{}, false
	}
	l.Text = object
	return l, true
}
