// Package eventlog defines the events that hosts log. The number of an event never
// changes its meaning and is never reused. docs/EVENTS.md lists all events.
package eventlog

import "github.com/rs/zerolog"

// Event identifies a kind of log line.
type Event struct {
	Number int
	Name   string
}

// The events. Numbers are grouped: 1xx process, 2xx callers, 3xx upstreams,
// 4xx groups, 5xx hosts, 6xx configuration and store.
var (
	Started               = Event{101, "host_started"}
	Stopping              = Event{102, "host_stopping"}
	Stopped               = Event{103, "host_stopped"}
	StopForced            = Event{104, "host_stop_forced"}
	SettingsReloaded      = Event{105, "settings_reloaded"}
	SettingsRejected      = Event{106, "settings_rejected"}
	CallerRejected        = Event{201, "caller_rejected"}
	CallerViolation       = Event{202, "caller_protocol_violation"}
	PoolAcquired          = Event{301, "pool_acquired"}
	PoolReleased          = Event{302, "pool_released"}
	PoolTakeover          = Event{303, "pool_takeover"}
	ConnectionFailed      = Event{304, "upstream_connection_failed"}
	LedgerNotTrimmed      = Event{305, "ledger_not_trimmed"}
	UpstreamKnown         = Event{306, "upstream_known"}
	UpstreamGone          = Event{307, "upstream_gone"}
	UpstreamSuspected     = Event{308, "upstream_suspected"}
	StatementFailed       = Event{309, "statement_failed"}
	StatementServed       = Event{310, "statement_served"}
	UpstreamRestarted     = Event{313, "upstream_restarted"}
	DetourTaken           = Event{314, "upstream_detour"}
	ReadsCounted          = Event{315, "reads_counted"}
	ControlTrafficCounted = Event{316, "talk_counted"}
	UpstreamEjected       = Event{317, "upstream_ejected"}
	UpstreamReadmitted    = Event{318, "upstream_readmitted"}
	StatementDisplaced    = Event{319, "statement_displaced"}
	LoadReportInvalid     = Event{320, "load_report_invalid"}
	AnswerRejected        = Event{321, "answer_rejected"}
	// UpstreamAnswerRejected is the counterpart of AnswerRejected for PostgreSQL members.
	UpstreamAnswerRejected = Event{322, "upstream_answer_rejected"}
	// TransactionReclaimed needs no rate limit: there is at most one per open
	// transaction.
	TransactionReclaimed = Event{312, "transaction_reclaimed"}
	GateJobFailed        = Event{311, "gate_job_failed"}
	TermClaimed          = Event{401, "term_claimed"}
	Promoted             = Event{402, "primary_promoted"}
	PrimaryChanged       = Event{403, "primary_changed"}
	GroupCommandFailed   = Event{404, "group_order_failed"}
	PrimaryReportedDead  = Event{405, "primary_reported_dead"}
	PromotionLockTaken   = Event{406, "promotion_lock_taken"}
	PrimaryBelievedDead  = Event{408, "primary_believed_dead"}
	PrimaryLossAgreed    = Event{409, "primary_loss_agreed"}
	PromotionOrdered     = Event{410, "promotion_ordered"}
	PrimaryFirstWrite    = Event{411, "primary_first_write"}
	GroupInactive        = Event{412, "group_inactive"}
	PrimaryLogVerified   = Event{413, "primary_log_verified"}
	PrimaryLogUnverified = Event{414, "primary_log_unverified"}
	PrimaryLogLost       = Event{415, "primary_log_lost"}
	PrimaryFailing       = Event{416, "primary_failing"}
	SyncGroupRecorded    = Event{417, "sync_group_recorded"}
	PromotionWithheld    = Event{418, "promotion_withheld"}
	GroupSettled         = Event{419, "group_settled"}
	ReplicaResumed       = Event{420, "replica_resumed"}
	CommitsHeld          = Event{421, "commits_held"}
	CommitsReleased      = Event{422, "commits_released"}
	HostStateChanged     = Event{501, "host_state_changed"}
	PeerCallFailed       = Event{502, "peer_call_failed"}
	HistoryLost          = Event{606, "platform_history_lost"}
	EntryUnreadable      = Event{607, "upstream_entry_unreadable"}
	LeaseLost            = Event{608, "platform_lease_lost"}
	ListingRelayed       = Event{609, "platform_news_relayed"}
	RelayFollowed        = Event{610, "platform_relay_followed"}
	RelayLost            = Event{611, "platform_relay_lost"}
	FleetKnown           = Event{612, "fleet_known"}
	UpdatesCounted       = Event{613, "platform_news_counted"}
	FollowerAhead        = Event{614, "platform_follower_ahead"}
	StoreRestored        = Event{615, "platform_restored"}
	WatchFailed          = Event{616, "platform_watch_failed"}
	ConfigDeferred       = Event{617, "configuration_deferred"}
	SnapshotTaken        = Event{618, "platform_snapshot_taken"}
	SnapshotFailed       = Event{619, "platform_snapshot_failed"}
	PeersPolled          = Event{620, "platform_peers_polled"}
	ConfigFetched        = Event{621, "configuration_fetched"}
	CounterStopped       = Event{622, "team_counter_stopped"}
	StoreListed          = Event{623, "platform_listed"}
	SourceClaimed        = Event{624, "platform_source_claimed"}
	StoreAnswerRejected  = Event{626, "platform_answer_rejected"}
	EventPrepared        = Event{605, "event_prepared"}
	ConfigInForce        = Event{601, "configuration_in_force"}
	ConfigRejected       = Event{602, "configuration_rejected"}
	PlatformUnreachable  = Event{603, "platform_unreachable"}
	PlatformReachable    = Event{604, "platform_reachable"}
)

// All returns all events, ordered by number.
func All() []Event {
	return []Event{
		Started, Stopping, Stopped, StopForced, SettingsReloaded, SettingsRejected,
		CallerRejected, CallerViolation,
		PoolAcquired, PoolReleased, PoolTakeover, ConnectionFailed, LedgerNotTrimmed,
		UpstreamKnown, UpstreamGone, UpstreamSuspected, StatementFailed, StatementServed, GateJobFailed, TransactionReclaimed, UpstreamRestarted, DetourTaken, ReadsCounted, ControlTrafficCounted, UpstreamEjected, UpstreamReadmitted, StatementDisplaced, LoadReportInvalid, AnswerRejected, UpstreamAnswerRejected,
		TermClaimed, Promoted, PrimaryChanged, GroupCommandFailed, PrimaryReportedDead, PromotionLockTaken,
		PrimaryBelievedDead, PrimaryLossAgreed, PromotionOrdered, PrimaryFirstWrite, GroupInactive, PrimaryLogVerified, PrimaryLogUnverified, PrimaryLogLost, PrimaryFailing, SyncGroupRecorded, PromotionWithheld, GroupSettled, ReplicaResumed, CommitsHeld, CommitsReleased,
		HostStateChanged, PeerCallFailed,
		ConfigInForce, ConfigRejected, PlatformUnreachable, PlatformReachable, EventPrepared,
		HistoryLost, EntryUnreadable, LeaseLost, ListingRelayed, RelayFollowed, RelayLost, FleetKnown, UpdatesCounted, FollowerAhead, StoreRestored, WatchFailed, ConfigDeferred, SnapshotTaken, SnapshotFailed, PeersPolled, ConfigFetched, CounterStopped, StoreListed, SourceClaimed, StoreAnswerRejected,
	}
}

// Debug returns a log line of the event at level debug.
func (e Event) Debug(log zerolog.Logger) *zerolog.Event { return e.tag(log.Debug()) }

// Info returns a log line of the event at level info.
func (e Event) Info(log zerolog.Logger) *zerolog.Event { return e.tag(log.Info()) }

// Warn returns a log line of the event at level warn.
func (e Event) Warn(log zerolog.Logger) *zerolog.Event { return e.tag(log.Warn()) }

// Error returns a log line of the event at level error.
func (e Event) Error(log zerolog.Logger) *zerolog.Event { return e.tag(log.Error()) }

func (e Event) tag(line *zerolog.Event) *zerolog.Event {
	return line.Int("event", e.Number).Str("name", e.Name)
}
