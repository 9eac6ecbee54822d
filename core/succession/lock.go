package succession

import "github.com/dotterelswitch/dotterelswitch/core/store"

// Lock is the promotion lock of a service in the platform's store. Its revision
// is the fencing token of the holder: each acquisition returns a higher one,
// also after the store has been restored from a backup, and the platform
// refuses calls with an older token.
//
// The holder leads the promotions of the service for as long as its lease runs,
// so that after the loss of a primary one host already has a token and does not
// depend on the store.
type Lock struct {
	// Holder is the host that holds the lock, or the empty string.
	Holder   string
	Revision store.Revision
}

// Token returns the fencing token of the holder.
func (l Lock) Token() uint64 { return uint64(l.Revision) }

// MayLead reports whether self may lead a promotion with the token it holds. A
// host that cannot reach the store may have lost the lock without noticing, so
// every host that can reach it must still see the same token. Safety comes from
// fencing by the platform; this check avoids concurrent promotions.
func MayLead(self string, lock Lock, storeReached bool, reports []PeerReport) bool {
	if lock.Holder != self {
		return false
	}
	if storeReached {
		return true
	}
	for _, r := range reports {
		if r.StoreReached && r.Lock != lock.Token() {
			return false
		}
	}
	return true
}
