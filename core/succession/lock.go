package succession

// Lock is the promotion lock of a service as the platform's store has it. Its
// revision is the fencing token of the host that holds it: each taking of the
// lock gives a higher one, and the platform refuses calls with an older one.
//
// The lock stays with its holder between promotions, for as long as the host's
// lease runs. So while the store is away, there is one host that has a token to
// act with.
type Lock struct {
	// Holder is the host that holds the lock; empty while nobody does.
	Holder string
	// Acting tells that the holder leads a promotion.
	Acting   bool
	Revision uint64
}

// Free reports whether a host may take the lock to lead a promotion. It may
// take its own lock anew at any time: the answer to an earlier attempt may have
// been lost.
func (l Lock) Free(host string) bool { return l.Holder == "" || l.Holder == host || !l.Acting }

// Opinion is what another host says of a primary that this one has lost.
type Opinion struct {
	Host string
	// Dead tells that it has lost that primary as well.
	Dead bool
	// StoreReached tells that it reaches the platform's store.
	StoreReached bool
}

// MayActAlone reports whether a holder that does not reach the store may lead a
// promotion with the token that it has: more than half of the voters have lost
// the primary, and nobody who answered could take the lock from it. The
// platform's fence is what makes it safe; this keeps two hosts from working
// against each other.
func MayActAlone(self string, lock Lock, opinions []Opinion, voters []string) bool {
	if lock.Holder != self {
		return false
	}
	suspecting := []string{self}
	for _, o := range opinions {
		if o.StoreReached {
			return false
		}
		if o.Dead {
			suspecting = append(suspecting, o.Host)
		}
	}
	return Lost(suspecting, voters)
}
