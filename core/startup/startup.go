// Package startup decides how long callers wait for a host that has just
// started and does not know its configuration yet.
//
// Load pattern: all hosts lose power and come back within a second or two, and
// their callers connect again at once. The configuration comes with the first
// answer of the platform's store. A caller that is turned away before that uses
// up its few tries in milliseconds; one that is kept for a moment is served. A
// host that has been without configuration for seconds does not expect it
// soon, and turns callers away at once.
package startup

import "time"

const (
	// hope is how long after its start a host expects its configuration: it is
	// there within half a second of the store's return, and a store that is away
	// for longer than this is away for many seconds.
	hope = 4 * time.Second
	// loginWait is the longest wait of one login. The platform's callers hang up
	// after 2 s; a quarter is left for the way and a busy host.
	loginWait = 1500 * time.Millisecond
)

// LoginUntil returns until when a login that comes now waits for the
// configuration of a host that started at the given time. It lies in the past
// when the login is to be refused at once.
func LoginUntil(started, now time.Duration) time.Duration {
	return min(started+hope, now+loginWait)
}

// StatementUntil returns until when a statement waits for the members of its
// service; startBy is the latest start that is of use to it.
func StatementUntil(started, startBy time.Duration) time.Duration {
	return min(started+hope, startBy)
}
