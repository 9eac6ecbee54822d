// Package outlier decides which members of a group fail or are slow compared with their
// peers, and when they serve reads again.
package outlier

import "time"

// Cause is the reason for an ejection. The numbers are part of the protocol between
// hosts.
type Cause uint8

const (
	// UnknownCause is a reason that this version does not know.
	UnknownCause Cause = iota
	// Failing means that the member answers too many statements with a failure.
	Failing
	// Slow means that the member takes several times as long as its peers.
	Slow
	numCauses
)

var causeNames = [numCauses]string{"unknown", "failing", "slow"}

func (c Cause) String() string { return causeNames[min(c, numCauses-1)] }

// DecodeCause returns the cause with a number that another host has sent.
func DecodeCause(n uint32) Cause {
	if n >= uint32(numCauses) {
		return UnknownCause
	}
	return Cause(n)
}

// Ejection is a verdict that reads should not be sent to a member. The zero value means
// that there is none.
type Ejection struct {
	Cause Cause
	// Until is the end of the verdict's validity, an offset on a monotonic clock.
	Until time.Duration
}

// Active reports whether the verdict is valid.
func (e Ejection) Active(now time.Duration) bool { return now < e.Until }

// MaxRemaining bounds the validity of a verdict that another host has sent.
const MaxRemaining = 30 * time.Second
