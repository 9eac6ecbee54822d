package upstream

import (
	"context"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/group"
	"github.com/dotterelswitch/dotterelswitch/core/logpos"
)

// GroupMember is the control interface of a member of a database group. A member
// persists the granted term and its log, and rejects log entries and commands with
// a term older than the granted one (fencing). See docs/decisions/0002-writes.md.
//
// RequestTerm, Promote and Follow return the member's status and whether it
// accepted the command.
type GroupMember interface {
	// Status returns the member's terms and positions.
	Status(ctx context.Context) (group.Status, error)
	// WaitForChange long-polls the status: it returns when the status' Change
	// counter differs from lastChange, or after the timeout.
	WaitForChange(ctx context.Context, lastChange uint64, timeout time.Duration) (group.Status, error)
	// RequestTerm asks the member to grant a term to a candidate.
	RequestTerm(ctx context.Context, term logpos.Term, candidate string) (group.Status, bool, error)
	// Promote makes the member primary of a term that it has granted to the
	// candidate.
	Promote(ctx context.Context, term logpos.Term, candidate string) (group.Status, bool, error)
	// Follow makes the member replicate from a primary.
	Follow(ctx context.Context, term logpos.Term, primary string) (group.Status, bool, error)
}
