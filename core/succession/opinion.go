package succession

import (
	"slices"
	"time"
)

// Opinion is what another host reports about a primary that this host suspects.
type Opinion struct {
	Host string
	// Dead reports that the host suspects that primary as well.
	Dead bool
	// Reaches reports that the primary has recently answered the host.
	Reaches bool
	// StoreReached reports that the host can reach the platform's store.
	StoreReached bool
	// Lock is the token of the service's promotion lock as known to the host,
	// or zero if nobody holds the lock.
	Lock uint64
	// Leading reports that the host leads a promotion of the service, or is
	// about to.
	Leading bool
}

// opinionTTL is how long an opinion is valid. It allows for several requests to
// a host, each with a round trip between regions.
const opinionTTL = 500 * time.Millisecond

// Opinions holds the newest opinion of each other host on one primary. It is
// not safe for concurrent use.
type Opinions struct {
	primary string
	byHost  map[string]timedOpinion
}

type timedOpinion struct {
	Opinion
	askedAt time.Duration
}

// Record stores an opinion on a primary that was requested at the given time.
// It drops the opinions on any other primary.
func (o *Opinions) Record(primary string, opinion Opinion, asked time.Duration) {
	if o.primary != primary {
		o.primary, o.byHost = primary, map[string]timedOpinion{}
	}
	if old, found := o.byHost[opinion.Host]; !found || old.askedAt <= asked {
		o.byHost[opinion.Host] = timedOpinion{Opinion: opinion, askedAt: asked}
	}
}

// Current returns the opinions on a primary that have not expired.
func (o *Opinions) Current(primary string, now time.Duration) []Opinion {
	if o.primary != primary {
		return nil
	}
	var out []Opinion
	for _, h := range o.byHost {
		if now-h.askedAt <= opinionTTL {
			out = append(out, h.Opinion)
		}
	}
	return out
}

// HostsReaching returns, sorted, the hosts that the primary answers.
func HostsReaching(opinions []Opinion) []string {
	var out []string
	for _, o := range opinions {
		if o.Reaches && !o.Dead {
			out = append(out, o.Host)
		}
	}
	slices.Sort(out)
	return out
}

// HostsSuspecting returns the hosts that suspect the primary.
func HostsSuspecting(opinions []Opinion) []string {
	var out []string
	for _, o := range opinions {
		if o.Dead {
			out = append(out, o.Host)
		}
	}
	return out
}
