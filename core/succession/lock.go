package succession

import "github.com/dotterelswitch/dotterelswitch/core/store"

// Lock is the promotion lock of a service as the platform's store has it. Its
// revision is the fencing token of the host that holds it: each taking of the
// lock gives a higher one, also after the store has returned from an older copy, and
// the platform refuses calls with an older one.
//
// The holder leads the promotions of the service for as long as its lease runs.
// So at a loss there is one host that has a token to act with already, whether
// or not the store answers just then.
type Lock struct {
	// Holder is the host that holds the lock; empty while nobody does.
	Holder   string
	Revision store.Revision
}

// Token returns the fencing token of the host that holds the lock.
func (l Lock) Token() uint64 { return uint64(l.Revision) }

// MayLead reports whether the holder of a lock may lead a promotion with the
// token that it has. One that does not reach the store may have lost the lock
// without hearing of it: the hosts that reach the store must still see it there.
// The platform's fence is what makes it safe; this keeps two hosts from working
// against each other.
func MayLead(self string, lock Lock, storeReached bool, opinions []Opinion) bool {
	if lock.Holder != self {
		return false
	}
	if storeReached {
		return true
	}
	for _, o := range opinions {
		if o.StoreReached && o.Lock != lock.Token() {
			return false
		}
	}
	return true
}
