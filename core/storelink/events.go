package storelink

import "time"

// Failed records a failed call. It reports whether the store was reachable before.
func (l *Link) Failed(now time.Duration) bool {
	if l.Unreachable() {
		return false
	}
	l.failedAt = now
	return true
}

// Answered records changes, or the lack of any, from the store or a relay. The age is the
// time since the store answered: zero from the store itself. It reports whether the store
// was unreachable before.
func (l *Link) Answered(now, age time.Duration) bool {
	wasUnreachable := l.Unreachable()
	l.failedAt, l.lastAnswer = 0, now
	l.knownUntil = max(l.knownUntil, now-age)
	return wasUnreachable
}

// Listed records a complete listing of an age like that of Answered. It reports whether the
// store was unreachable before.
func (l *Link) Listed(now, age time.Duration) bool {
	l.relistDue = false
	return l.Answered(now, age)
}

// HistoryLost records that the store no longer has the changes after the host's revision.
func (l *Link) HistoryLost() { l.relistDue = true }

// RestoreObserved records that the store was restored from a backup. It reports whether a
// listing becomes due by it: a host that follows a relay receives one from the relay.
func (l *Link) RestoreObserved() bool {
	if l.follows || l.relistDue {
		return false
	}
	l.relistDue = true
	return true
}

// UseStore records that the host calls the store itself from now on.
func (l *Link) UseStore() { l.follows, l.relay = false, "" }

// Follow records that the host follows a relay from now on.
func (l *Link) Follow(relay string) { l.follows, l.relay = true, relay }

// RelayLost records that the followed relay has failed; the host looks for the next one.
func (l *Link) RelayLost() { l.relay = "" }

// RelayLacksChanges records that the relay no longer has the changes after the host's
// revision: the store is asked for them before a relay is followed again.
func (l *Link) RelayLacksChanges() { l.relay, l.catchUpDue = "", true }

// TakeCatchUp reports whether the next watch has only to fetch the changes that a relay
// lacked, without waiting for new ones.
func (l *Link) TakeCatchUp() bool {
	due := l.catchUpDue
	l.catchUpDue = false
	return due
}
