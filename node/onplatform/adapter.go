// Package onplatform puts the adapter to the users' platform together for one
// host.
package onplatform

import (
	"time"

	"github.com/dotterelswitch/dotterelswitch/node/entry"
	"github.com/dotterelswitch/dotterelswitch/platform"
)

// promotionTimeout bounds one promotion call. The platform answers in
// milliseconds; a call whose answer is lost is repeated with the same token,
// and callers wait for it.
const promotionTimeout = 600 * time.Millisecond

// Options say how the platform is met.
type Options struct {
	// Host is this host's name.
	Host string
	// Store and Promotion are where the platform's calls go.
	Store, Promotion string
	// Timeout bounds each call but a watch.
	Timeout time.Duration
	// RequireTeams refuses a configuration that asks callers for no key.
	RequireTeams bool
}

// Adapter returns the way to the platform.
func Adapter(o Options) entry.Adapter {
	client := entry.HTTPClient()
	return entry.Adapter{
		Callers: platform.CallerProtocol{}, Members: platform.MemberProtocol{}, Documents: platform.Documents{RequireTeams: o.RequireTeams},
		Store:         platform.NewStoreClient(o.Store, client, o.Timeout),
		Promotion:     platform.NewPromotionClient(o.Promotion, o.Host, client, min(o.Timeout, promotionTimeout)),
		ReadinessPath: platform.ReadyPath,
	}
}
