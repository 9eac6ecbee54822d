package upstream

import (
	"context"
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/group"
	"github.com/dotterelswitch/dotterelswitch/core/logpos"
)

// GroupMember is what the system needs of a member of a database group. The
// assumptions are listed in docs/decisions/0002-writes.md; the central ones
// are that a claimed term and the log are durable, and that a member accepts
// no entry and no order of a term older than the one it has claimed.
type GroupMember interface {
	// Status returns the member's terms and positions.
	Status(ctx context.Context) (group.Status, error)
	// Await returns the status once its Change is not the known one, or after
	// the limit.
	Await(ctx context.Context, known uint64, limit time.Duration) (group.Status, error)
	// Claim asks the member to grant a term to a claimant. The second result
	// is whether it did.
	Claim(ctx context.Context, term logpos.Term, claimant string) (group.Status, bool, error)
	// Promote makes the member primary of a term it granted to the claimant.
	Promote(ctx context.Context, term logpos.Term, claimant string) (group.Status, bool, error)
	// Follow makes the member replicate from a primary.
	Follow(ctx context.Context, term logpos.Term, primary string) (group.Status, bool, error)
}
