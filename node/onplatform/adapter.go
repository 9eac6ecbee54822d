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

// Adapter returns the way to the platform for the named host. Timeout bounds
// each call but a watch.
func Adapter(host, store, promotion string, timeout time.Duration) entry.Adapter {
	client := entry.HTTPClient()
	return entry.Adapter{
		Callers: platform.CallerProtocol{}, Members: platform.MemberProtocol{}, Documents: platform.Documents{},
		Store:     platform.NewStoreClient(store, client, timeout),
		Promotion: platform.NewPromotionClient(promotion, host, client, min(timeout, promotionTimeout)),
		ReadyPath: platform.ReadyPath,
	}
}
