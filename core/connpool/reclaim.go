package connpool

import "time"

// MaxIdleInTransaction is how long a transaction may be idle while statements wait
// for a connection. It bounds how long callers that leave transactions open can
// exhaust the connections of a primary.
const MaxIdleInTransaction = time.Second

// IdleTransaction is an open transaction without a running statement.
type IdleTransaction struct {
	ID uint64
	// IdleSince is when its last statement ended.
	IdleSince time.Duration
}

// ReclaimCandidate returns the transaction to roll back so that its connection can
// be reused: the one that has been idle longest. It returns false if none has been
// idle for longer than MaxIdleInTransaction.
func ReclaimCandidate(idle []IdleTransaction, now time.Duration) (IdleTransaction, bool) {
	var longest IdleTransaction
	found := false
	for _, tx := range idle {
		if now-tx.IdleSince > MaxIdleInTransaction && (!found || tx.IdleSince < longest.IdleSince) {
			longest, found = tx, true
		}
	}
	return longest, found
}
