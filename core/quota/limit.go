// Package quota holds the teams' limits: how many operations a team may run,
// over all hosts together.
package quota

import "time"

// Tolerance is by how much a team may exceed its limit: in any Window by the
// given share of what the limit allows in it, and by a number of operations.
type Tolerance struct {
	Window     time.Duration
	Share      float64
	Operations float64
}

// Limit bounds the operations of one team over all hosts. The zero value is no
// limit.
type Limit struct {
	// Bounded tells that there is a limit at all.
	Bounded bool
	// Rate is how many operations a second the team may run in the long run, and
	// Burst how many more at once.
	Rate, Burst float64
}
