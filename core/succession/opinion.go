package succession

import (
	"slices"
	"time"
)

// Opinion is what another host says of a primary that this one has lost.
type Opinion struct {
	Host string
	// Dead tells that it has lost that primary as well.
	Dead bool
	// Reaches tells that the primary has answered it lately.
	Reaches bool
	// StoreReached tells that it reaches the platform's store.
	StoreReached bool
	// Lock is the token of the service's promotion lock that it knows; zero while
	// nobody holds the lock.
	Lock uint64
	// Leading tells that it leads a promotion of the service, or is about to.
	Leading bool
}

// opinionFor is how long an opinion counts: several questions to a host, each of
// a round trip between regions.
const opinionFor = 500 * time.Millisecond

// Opinions are the newest opinions of other hosts on one primary. It is not safe
// for concurrent use.
type Opinions struct {
	primary string
	byHost  map[string]heard
}

// heard is an opinion and when it was asked for.
type heard struct {
	Opinion
	asked time.Duration
}

// Hear takes an opinion on a primary that was asked for at the given time. Those
// on another primary are dropped.
func (o *Opinions) Hear(primary string, x Opinion, asked time.Duration) {
	if o.primary != primary {
		o.primary, o.byHost = primary, map[string]heard{}
	}
	if old, found := o.byHost[x.Host]; !found || old.asked <= asked {
		o.byHost[x.Host] = heard{Opinion: x, asked: asked}
	}
}

// Of returns the opinions on a primary that still count.
func (o *Opinions) Of(primary string, now time.Duration) []Opinion {
	if o.primary != primary {
		return nil
	}
	var out []Opinion
	for _, h := range o.byHost {
		if now-h.asked <= opinionFor {
			out = append(out, h.Opinion)
		}
	}
	return out
}

// Reaching returns the hosts that the primary answers.
func Reaching(opinions []Opinion) []string {
	var out []string
	for _, o := range opinions {
		if o.Reaches && !o.Dead {
			out = append(out, o.Host)
		}
	}
	slices.Sort(out)
	return out
}

// Suspecting returns the hosts that have lost the primary.
func Suspecting(opinions []Opinion) []string {
	var out []string
	for _, o := range opinions {
		if o.Dead {
			out = append(out, o.Host)
		}
	}
	return out
}
