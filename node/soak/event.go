// Package soak runs hosts as processes of their own against the stand-in of the
// users' platform, harms them from outside, and holds what callers saw against
// what the members ran. A seed decides everything but the processes' timing.
package soak

import (
	"fmt"
	"time"
)

// Kind is a kind of fault.
type Kind uint8

// The kinds of faults.
const (
	// KillHost ends a host's process at once; it starts again.
	KillHost Kind = iota
	// KillMany does so to half of the hosts at the same moment.
	KillMany
	// StopHost asks a host's process to end, within its grace.
	StopHost
	// PauseHost suspends a host's process for a while.
	PauseHost
	// ReloadHost tells a host that its settings file has changed.
	ReloadHost
	// CutStore holds all data between one host and the platform back.
	CutStore
	// SilenceStore makes one host's connections to the platform silent for good.
	SilenceStore
	// StoreRefuses, StoreSilent and StoreLosesAnswers harm the store itself.
	StoreRefuses
	StoreSilent
	StoreLosesAnswers
	// StoreForgets drops the store's history.
	StoreForgets
	// CrashMember ends a member, with its log kept; it starts again.
	CrashMember
	// CrashPrimary does so to the primary.
	CrashPrimary
	// DrainPrimary has the primary announce its leave; a new member follows.
	DrainPrimary
	// DelayMember, HoldToMember and HoldFromMember harm the way to a member,
	// ResetMember and SilenceMember its open connections.
	DelayMember
	HoldToMember
	HoldFromMember
	ResetMember
	SilenceMember
	// DeafReplica stops a replica from receiving.
	DeafReplica
	// LoseAnswers has a member run statements without answering.
	LoseAnswers
	// RefusePromotion has the platform turn promotion calls away.
	RefusePromotion
	// ChangeConfig adds one route and removes another.
	ChangeConfig
	// EmptyMember and EmptyPrimary end a member; it starts again under its id without
	// its log, and as a replica.
	EmptyMember
	EmptyPrimary
	// ForeignEntry has another writer leave something among the members' entries, and
	// over one of them.
	ForeignEntry
	// RestoreStore has the store return from a copy that is as old as the fault is
	// long.
	RestoreStore
	kindCount
)

var kindNames = [...]string{
	"kill_host", "kill_many", "stop_host", "pause_host", "reload_host", "cut_store", "silence_store",
	"store_refuses", "store_silent", "store_loses_answers", "store_forgets", "crash_member", "crash_primary",
	"drain_primary", "delay_member", "hold_to_member", "hold_from_member", "reset_member", "silence_member",
	"deaf_replica", "lose_answers", "refuse_promotion", "change_config",
	"empty_member", "empty_primary", "foreign_entry", "restore_store",
}

func (k Kind) String() string { return kindNames[k] }

// planned reports whether the fault is work that must cut nobody off.
func (k Kind) planned() bool {
	return k == StopHost || k == ReloadHost || k == ChangeConfig || k == StoreForgets
}

// Event is one fault.
type Event struct {
	// At is when it begins, from the start of the load.
	At   time.Duration
	Kind Kind
	// Target chooses among the hosts or members that there are then.
	Target int
	// For is how long it lasts, where it lasts.
	For time.Duration
}

func (e Event) String() string {
	return fmt.Sprintf("%s %s target %d for %s", e.At, e.Kind, e.Target, e.For)
}
