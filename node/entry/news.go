package entry

import (
	"context"
	"time"

	"github.com/dotterelswitch/dotterelswitch/node/clock"
	"github.com/dotterelswitch/dotterelswitch/node/eventlog"
)

// newsInterval is how often a host logs how far it has heard of the store.
const newsInterval = 5 * time.Second

// logNews logs how far this host has heard of the store, and on which way, until
// the context ends.
func (h *Host) logNews(ctx context.Context) { clock.Every(ctx, newsInterval, h.writeNews) }

func (h *Host) writeNews() {
	st, counts := h.registry.State(), h.registry.TakeUpdateCounts()
	var version uint64
	if c := h.registry.Catalog(); c != nil {
		version = c.Version
	}
	eventlog.NewsCounted.Info(h.log).Stringer("revision", st.Revision).Uint64("version", version).
		Bool("away", st.Unreachable).Bool("direct", st.Direct).Str("relay", st.Relay).Dur("heard_ms", st.SinceContact).
		Int("from_store", counts.FromStore).Int("from_relay", counts.FromRelay).Int("from_peers", counts.FromPeers).
		Int("told", counts.Sent).Int("followers", st.Followers).Send()
}
