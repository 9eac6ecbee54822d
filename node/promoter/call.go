package promoter

import (
	"context"
	"errors"
	"time"

	"github.com/dotterelswitch/dotterelswitch/node/clock"
)

const (
	// maxPromoteCalls bounds the calls of one promotion. Calls with the same
	// token are idempotent.
	maxPromoteCalls = 5
	// firstCallTimeout bounds the first call. The timeout doubles with each
	// further call, up to maxCallTimeout.
	firstCallTimeout = 150 * time.Millisecond
	maxCallTimeout   = 600 * time.Millisecond
	// minCallSpacing is the minimum time between two calls, so that immediate
	// errors do not exhaust the platform's rate limit of 50 calls a second for the whole
	// fleet.
	minCallSpacing = 100 * time.Millisecond
)

// refusalError is implemented by promotion errors that tell whether the platform
// refused the token.
type refusalError interface{ Refused() bool }

func tokenRefused(err error) bool {
	var r refusalError
	return errors.As(err, &r) && r.Refused()
}

// callPromote calls the platform until it answers, with short timeouts at first:
// all writes of the group wait for the new primary, and an answer may be lost.
func (p *Promoter) callPromote(ctx context.Context, member string, token uint64) error {
	return p.callUntilAnswered(ctx, member, token, func() bool { return p.isPrimary(member) })
}

// callUntilAnswered is callPromote with another condition that ends it with success.
func (p *Promoter) callUntilAnswered(ctx context.Context, member string, token uint64, done func() bool) error {
	var err error
	for attempt := range maxPromoteCalls {
		if done() {
			return nil
		}
		started := clock.Now()
		if err = p.callPromoteOnce(ctx, member, token, callTimeout(attempt)); err == nil {
			return nil
		}
		if tokenRefused(err) {
			return err
		}
		if !clock.Sleep(ctx, minCallSpacing-(clock.Now()-started)) {
			return err
		}
	}
	return err
}

func (p *Promoter) callPromoteOnce(ctx context.Context, member string, token uint64, d time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	p.mu.Lock()
	p.orderedAt = clock.Now()
	p.mu.Unlock()
	err := p.platform.Promote(ctx, p.service, member, token)
	p.observeCall(token, err)
	return err
}

// unansweredError is implemented by promotion errors that tell whether the call may still be
// executed.
type unansweredError interface{ MayTakeEffect() bool }

// observeCall records whether a call may still be executed later. An answer to a call with
// a newer token shows that the platform refuses all older ones.
func (p *Promoter) observeCall(token uint64, err error) {
	var failure unansweredError
	pending := err != nil && (!errors.As(err, &failure) || failure.MayTakeEffect())
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case pending:
		p.unansweredToken = max(p.unansweredToken, token)
		if p.unsettledSince == 0 {
			p.unsettledSince = clock.Now()
		}
	case err == nil && token > p.unansweredToken:
		p.unansweredToken, p.unfenced = 0, false
	case err == nil:
		p.unfenced = false
	}
}

func callTimeout(attempt int) time.Duration { return min(firstCallTimeout<<attempt, maxCallTimeout) }
