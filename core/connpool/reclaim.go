package connpool

import "time"

// RestLimit is how long an open transaction may rest, with nothing under way,
// while other statements wait for its connection. Load pattern: callers begin
// transactions, write, and then do nothing; a hundred of them take most of a
// primary's connections until the operators' limit ends them, many seconds
// later. Callers at work pause for a fraction of a second between statements.
const RestLimit = time.Second

// Resting is an open transaction between two of its statements.
type Resting struct {
	ID uint64
	// Since is when its last statement ended.
	Since time.Duration
}

// Reclaim picks the transaction to roll back for those that wait: the one that
// has rested longest. It returns false while none has rested for too long.
func Reclaim(resting []Resting, now time.Duration) (Resting, bool) {
	var longest Resting
	found := false
	for _, r := range resting {
		if now-r.Since > RestLimit && (!found || r.Since < longest.Since) {
			longest, found = r, true
		}
	}
	return longest, found
}
