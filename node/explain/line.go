// Package explain tells the story of one request from the logs of several
// hosts.
package explain

import (
	"encoding/json"
	"strings"
	"time"
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

// Parse decodes a line. Whatever stands before the JSON object, such as a
// collector's prefix, is passed over. It reports false for other lines.
func Parse(text string) (Line, bool) {
	start := strings.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	var l Line
	if err := json.Unmarshal([]byte(text[start:]), &l); err != nil || l.Event == 0 {
		return Line{}, false
	}
	l.Text = strings.TrimSpace(text[start:])
	return l, true
}
