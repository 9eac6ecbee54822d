// Package onplatform assembles the adapter that connects an entry host to the
// users' platform.
package onplatform

import (
	"time"

	"github.com/dotterelswitch/dotterelswitch/node/entry"
	"github.com/dotterelswitch/dotterelswitch/platform"
)

// promotionTimeout bounds one promotion call. It is short because callers wait for
// the promotion and a call without a response is safely repeated with the same
// token.
const promotionTimeout = 600 * time.Millisecond

// Options configure the adapter.
type Options struct {
	// Host is this host's name.
	Host string
	// StoreAddress and PromotionAddress are the addresses of the platform's APIs.
	StoreAddress, PromotionAddress string
	// Timeout applies to every call; that of a watch starts when its wait ends.
	Timeout time.Duration
	// RequireTeams rejects a configuration without teams.
	RequireTeams bool
}

func NewAdapter(o Options) entry.Adapter {
	client := entry.HTTPClient()
	store := platform.NewStoreClient(o.StoreAddress, client, o.Timeout)
	return entry.Adapter{
		Callers: platform.CallerProtocol{}, Members: platform.MemberProtocol{}, Documents: platform.Documents{RequireTeams: o.RequireTeams},
		Store: store, ReportMismatches: store.ReportMismatches,
		Promotion:     platform.NewPromotionClient(o.PromotionAddress, o.Host, client, min(o.Timeout, promotionTimeout)),
		ReadinessPath: platform.ReadinessPath,
	}
}
