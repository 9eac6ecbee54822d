package promoter

import (
	"errors"

	"github.com/dotterelswitch/dotterelswitch/core/succession"
)

// Result is the outcome of a promotion that this host led.
type Result uint8

const (
	// Succeeded means that the chosen member is primary.
	Succeeded Result = iota
	// Failed means that no member was promoted; the promotion is retried.
	Failed
	// Fenced means that the platform has seen a newer token: another host leads a
	// promotion.
	Fenced
	// Withheld means that no replica that answered is certain to have every acknowledged
	// commit.
	Withheld
)

var resultNames = [...]string{"succeeded", "failed", "fenced", "withheld"}

func (r Result) String() string { return resultNames[r] }

func resultOf(err error) Result {
	switch {
	case err == nil:
		return Succeeded
	case tokenRefused(err):
		return Fenced
	case isWithheld(err):
		return Withheld
	}
	return Failed
}

func isWithheld(err error) bool {
	return errors.Is(err, succession.ErrTooFewReplicas) || errors.Is(err, succession.ErrCommitMissing)
}
