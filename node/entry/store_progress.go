package entry

import (
	"context"
	"time"

	"github.com/dotterelswitch/dotterelswitch/node/clock"
	"github.com/dotterelswitch/dotterelswitch/node/eventlog"
)

// storeProgressInterval is how often a host logs its store revision and the source
// of its updates.
const storeProgressInterval = 5 * time.Second

// logStoreProgress periodically logs this host's store revision and the source of
// its updates, until ctx is done.
func (h *Host) logStoreProgress(ctx context.Context) {
	clock.Every(ctx, storeProgressInterval, h.writeStoreProgressLine)
}

func (h *Host) writeStoreProgressLine() {
	st, counts := h.registry.State(), h.registry.TakeUpdateCounts()
	var version uint64
	if c := h.registry.Catalog(); c != nil {
		version = c.Version
	}
	eventlog.UpdatesCounted.Info(h.log).Stringer("revision", st.Revision).Uint64("version", version).
		Bool("away", st.Unreachable).Bool("direct", st.Direct).Str("relay", st.Relay).Dur("heard_ms", st.SinceContact).
		Int("from_store", counts.FromStore).Int("from_relay", counts.FromRelay).Int("from_peers", counts.FromPeers).
		Int("told", counts.Sent).Int("followers", st.Followers).Send()
}
