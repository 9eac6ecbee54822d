package succession

import "github.com/dotterelswitch/dotterelswitch/core/logpos"

// LogMark is a HighWaterMark as sent to other hosts. The zero value is no mark.
type LogMark struct {
	Member   string
	Term     logpos.Term
	Position logpos.Position
	// Lost reports that the member has since reported less.
	Lost bool
	// Restarted reports that the member may have restarted since the mark was vouched for.
	// The mark is a lower bound, but other hosts may know of more.
	Restarted bool
}
