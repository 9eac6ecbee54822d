// Package soak runs hosts as separate processes against the stand-in of the
// users' platform, injects faults from outside, and compares what callers observed
// with what the members executed. A seed determines everything except timing.
package soak

import (
	"fmt"
	"time"
)

// Kind is a kind of fault.
type Kind uint8

// The kinds of faults.
const (
	// KillHost sends SIGKILL to a host's process, which is restarted.
	KillHost Kind = iota
	// KillMany does the same to half of the hosts at once.
	KillMany
	// StopHost shuts a host's process down within its grace period.
	StopHost
	// PauseHost suspends a host's process for the duration of the fault.
	PauseHost
	// ReloadHost makes a host reload its settings file.
	ReloadHost
	// StallStore withholds all data between one host and the platform.
	StallStore
	// SilenceStore drops all further data of one host's open connections to the
	// platform.
	SilenceStore
	// StoreRefuses makes the store answer 503.
	StoreRefuses
	// StoreSilent makes the store accept calls without answering them.
	StoreSilent
	// StoreLosesAnswers makes the store execute writes without answering them.
	StoreLosesAnswers
	// CompactStore drops the store's history of revisions.
	CompactStore
	// CrashMember stops a member and restarts it with its log intact.
	CrashMember
	// CrashPrimary does the same to the primary.
	CrashPrimary
	// DrainPrimary drains the primary and adds a new member in its place.
	DrainPrimary
	// DelayMember adds latency to a member's connections.
	DelayMember
	// HoldToMember withholds all data to a member, HoldFromMember all data from it.
	HoldToMember
	HoldFromMember
	// ResetMember resets a member's open connections.
	ResetMember
	// SilenceMember drops all further data of a member's open connections.
	SilenceMember
	// StopReplication stops a replica from receiving the log.
	StopReplication
	// LoseAnswers makes a member run statements without answering.
	LoseAnswers
	// RefusePromotion makes the platform refuse promotion calls.
	RefusePromotion
	// ChangeConfig publishes a configuration that adds one route and removes another.
	ChangeConfig
	// WipeMember and WipePrimary stop a member and restart it as a replica under the
	// same id, without its log.
	WipeMember
	WipePrimary
	// ForeignEntry writes an invalid value among the members' entries in the store
	// and overwrites one of them.
	ForeignEntry
	// RestoreStore restores the store from a backup whose age is the duration of the
	// fault.
	RestoreStore
	// RepeatAnswers makes a member send some answers a second time, at once or later.
	RepeatAnswers
	// RepeatRefusals refuses some statements, begins and STATUS with BUSY in place of a member,
	// each twice.
	RepeatRefusals
	// CutAnswers makes a member send its answers in single bytes.
	CutAnswers
	kindCount
)

var kindNames = [...]string{
	"kill_host", "kill_many", "stop_host", "pause_host", "reload_host", "cut_store", "silence_store",
	"store_refuses", "store_silent", "store_loses_answers", "store_forgets", "crash_member", "crash_primary",
	"drain_primary", "delay_member", "hold_to_member", "hold_from_member", "reset_member", "silence_member",
	"deaf_replica", "lose_answers", "refuse_promotion", "change_config",
	"empty_member", "empty_primary", "foreign_entry", "restore_store",
	"repeat_answers", "repeat_refusals", "cut_answers",
}

func (k Kind) String() string { return kindNames[k] }

// planned reports whether this is routine maintenance, which must not interrupt
// any request.
func (k Kind) planned() bool {
	return k == StopHost || k == ReloadHost || k == ChangeConfig || k == CompactStore
}

// disturbsAnswers reports whether members only answer in other ways than they should. It
// does not make hosts replace a primary.
func (k Kind) disturbsAnswers() bool { return k >= RepeatAnswers }

// Event is one fault.
type Event struct {
	// Start is the offset from the start of the load.
	Start time.Duration
	Kind  Kind
	// Target selects a host or member, modulo the number that exist at that time.
	Target int
	// Duration is ignored by faults that are instantaneous.
	Duration time.Duration
}

func (e Event) String() string {
	return fmt.Sprintf("%s %s target %d for %s", e.Start, e.Kind, e.Target, e.Duration)
}
