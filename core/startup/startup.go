// Package startup decides how long callers wait for a host that has just started and
// has no configuration yet.
//
// When all hosts restart at once, callers reconnect before the store has delivered the
// configuration. A rejected caller uses up its retries within milliseconds, so logins
// and statements wait for a moment. A host that has been without configuration for
// seconds does not expect it soon and rejects callers immediately.
package startup

import "time"

const (
	// configTimeout is how long after its start a host expects its configuration.
	configTimeout = 4 * time.Second
	// maxLoginWait is the longest wait of one login. It leaves a margin for network and
	// scheduling delays before the platform's callers disconnect, after 2 s.
	maxLoginWait = 1500 * time.Millisecond
)

// LoginDeadline returns the time until which a login that arrives now waits for the
// configuration of a host that started at the given time. It is in the past if the
// login is to be rejected immediately.
func LoginDeadline(started, now time.Duration) time.Duration {
	return min(started+configTimeout, now+maxLoginWait)
}

// StatementDeadline returns the time until which a statement waits for the members of
// its service; startBy is the latest time at which it may start.
func StatementDeadline(started, startBy time.Duration) time.Duration {
	return min(started+configTimeout, startBy)
}
