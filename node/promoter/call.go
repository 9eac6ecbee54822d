package promoter

import (
	"context"
	"errors"
	"time"

	"github.com/dotterelswitch/dotterelswitch/node/clock"
)

const (
	// callTries is how often a promotion call is repeated. The same call with
	// the same token has one effect however often it is carried out.
	callTries = 5
	// firstCallTime bounds the first call. The platform answers in milliseconds
	// and is a round trip between regions away; each call after it gets twice the
	// time, up to lastCallTime, for a platform that is slow.
	firstCallTime = 150 * time.Millisecond
	lastCallTime  = 600 * time.Millisecond
	// callSpacing is the least time between two calls, for refusals that come at
	// once: the platform takes 50 calls a second of the whole fleet.
	callSpacing = 100 * time.Millisecond
)

// refusal is a promotion error that ends the use of a token.
type refusal interface{ Refused() bool }

// refused reports whether the platform has refused the token.
func refused(err error) bool {
	var r refusal
	return errors.As(err, &r) && r.Refused()
}

// call orders a promotion until the platform has answered. Load pattern: the
// platform loses a third of the answers, or carries calls out late, while all
// writes of a group wait for the new primary; so the first repeats come soon.
func (p *Promoter) call(ctx context.Context, member string, token uint64) error {
	var err error
	for try := range callTries {
		if p.leads(member) {
			return nil
		}
		began := clock.Now()
		if err = p.callOnce(ctx, member, token, callTime(try)); err == nil {
			return nil
		}
		if refused(err) {
			return err
		}
		if !clock.Sleep(ctx, callSpacing-(clock.Now()-began)) {
			return err
		}
	}
	return err
}

func (p *Promoter) callOnce(ctx context.Context, member string, token uint64, d time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	return p.caller.Promote(ctx, p.service, member, token)
}

// callTime returns how long a try waits for its answer.
func callTime(try int) time.Duration { return min(firstCallTime<<try, lastCallTime) }
