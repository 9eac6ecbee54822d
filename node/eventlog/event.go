// Package eventlog numbers the events that hosts log. Each number keeps its
// meaning for good; docs/EVENTS.md is the catalogue.
package eventlog

import "github.com/rs/zerolog"

// Event is one kind of log line.
type Event struct {
	Number int
	Name   string
}

// The events. Numbers are grouped: 1xx process, 2xx callers, 3xx upstreams,
// 4xx groups, 5xx hosts, 6xx configuration.
var (
	Started           = Event{101, "host_started"}
	Stopping          = Event{102, "host_stopping"}
	Stopped           = Event{103, "host_stopped"}
	StopForced        = Event{104, "host_stop_forced"}
	SettingsReloaded  = Event{105, "settings_reloaded"}
	SettingsRejected  = Event{106, "settings_rejected"}
	CallerRejected    = Event{201, "caller_rejected"}
	CallerViolation   = Event{202, "caller_protocol_violation"}
	PoolAcquired      = Event{301, "pool_acquired"}
	PoolReleased      = Event{302, "pool_released"}
	PoolTakeover      = Event{303, "pool_takeover"}
	ConnectionFailed  = Event{304, "upstream_connection_failed"}
	LedgerNotTrimmed  = Event{305, "ledger_not_trimmed"}
	UpstreamKnown     = Event{306, "upstream_known"}
	UpstreamGone      = Event{307, "upstream_gone"}
	UpstreamSuspected = Event{308, "upstream_suspected"}
	StatementFailed   = Event{309, "statement_failed"}
	StatementServed   = Event{310, "statement_served"}
	UpstreamRestarted = Event{313, "upstream_restarted"}
	DetourTaken       = Event{314, "upstream_detour"}
	ReadsCounted      = Event{315, "reads_counted"}
	TalkCounted       = Event{316, "talk_counted"}
	// TransactionReclaimed is bounded by the transactions that there are.
	TransactionReclaimed = Event{312, "transaction_reclaimed"}
	GateJobFailed        = Event{311, "gate_job_failed"}
	TermClaimed          = Event{401, "term_claimed"}
	Promoted             = Event{402, "primary_promoted"}
	PrimaryChanged       = Event{403, "primary_changed"}
	OrderFailed          = Event{404, "group_order_failed"}
	PrimaryReported      = Event{405, "primary_reported_dead"}
	LockTaken            = Event{406, "promotion_lock_taken"}
	PrimaryBelievedDead  = Event{408, "primary_believed_dead"}
	LossAgreed           = Event{409, "primary_loss_agreed"}
	PromotionOrdered     = Event{410, "promotion_ordered"}
	FirstWrite           = Event{411, "primary_first_write"}
	HostStateChanged     = Event{501, "host_state_changed"}
	PeerCallFailed       = Event{502, "peer_call_failed"}
	HistoryLost          = Event{606, "platform_history_lost"}
	EntryUnreadable      = Event{607, "upstream_entry_unreadable"}
	LeaseLost            = Event{608, "platform_lease_lost"}
	RelayedBy            = Event{609, "platform_news_relayed"}
	RelayFollowed        = Event{610, "platform_relay_followed"}
	RelayLost            = Event{611, "platform_relay_lost"}
	FleetKnown           = Event{612, "fleet_known"}
	NewsCounted          = Event{613, "platform_news_counted"}
	FollowerAhead        = Event{614, "platform_follower_ahead"}
	StoreRestored        = Event{615, "platform_restored"}
	EventPrepared        = Event{605, "event_prepared"}
	ConfigInForce        = Event{601, "configuration_in_force"}
	ConfigRejected       = Event{602, "configuration_rejected"}
	PlatformUnreached    = Event{603, "platform_unreachable"}
	PlatformReached      = Event{604, "platform_reachable"}
)

// All returns every event, in order of number.
func All() []Event {
	return []Event{
		Started, Stopping, Stopped, StopForced, SettingsReloaded, SettingsRejected,
		CallerRejected, CallerViolation,
		PoolAcquired, PoolReleased, PoolTakeover, ConnectionFailed, LedgerNotTrimmed,
		UpstreamKnown, UpstreamGone, UpstreamSuspected, StatementFailed, StatementServed, GateJobFailed, TransactionReclaimed, UpstreamRestarted, DetourTaken, ReadsCounted, TalkCounted,
		TermClaimed, Promoted, PrimaryChanged, OrderFailed, PrimaryReported, LockTaken,
		PrimaryBelievedDead, LossAgreed, PromotionOrdered, FirstWrite,
		HostStateChanged, PeerCallFailed,
		ConfigInForce, ConfigRejected, PlatformUnreached, PlatformReached, EventPrepared,
		HistoryLost, EntryUnreadable, LeaseLost, RelayedBy, RelayFollowed, RelayLost, FleetKnown, NewsCounted, FollowerAhead, StoreRestored,
	}
}

// Debug starts a line at level debug.
func (e Event) Debug(log zerolog.Logger) *zerolog.Event { return e.tag(log.Debug()) }

// Info starts a line at level info.
func (e Event) Info(log zerolog.Logger) *zerolog.Event { return e.tag(log.Info()) }

// Warn starts a line at level warn.
func (e Event) Warn(log zerolog.Logger) *zerolog.Event { return e.tag(log.Warn()) }

// Error starts a line at level error.
func (e Event) Error(log zerolog.Logger) *zerolog.Event { return e.tag(log.Error()) }

func (e Event) tag(line *zerolog.Event) *zerolog.Event {
	return line.Int("event", e.Number).Str("name", e.Name)
}
