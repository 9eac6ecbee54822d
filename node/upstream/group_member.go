package upstream

import (
	"context"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/group"
	"github.com/dotterelswitch/dotterelswitch/core/logpos"
)

// GroupMember is the control interface of a member of a database group. A granted
// term and the log must be durable, and a member must reject entries and orders
// of terms older than the one it has granted. See docs/decisions/0002-writes.md.
type GroupMember interface {
	// Status returns the member's terms and positions.
	Status(ctx context.Context) (group.Status, error)
	// Await returns the status as soon as its Change differs from the known one,
	// or after the limit.
	Await(ctx context.Context, known uint64, limit time.Duration) (group.Status, error)
	// Claim asks the member to grant a term to a claimant, and reports whether it
	// did.
	Claim(ctx context.Context, term logpos.Term, claimant string) (group.Status, bool, error)
	// Promote makes the member primary of a term that it has granted to the
	// claimant.
	Promote(ctx context.Context, term logpos.Term, claimant string) (group.Status, bool, error)
	// Follow makes the member replicate from a primary.
	Follow(ctx context.Context, term logpos.Term, primary string) (group.Status, bool, error)
}
