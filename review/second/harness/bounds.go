package harness

import "time"

// Site holds the figures of a small deployment that the settings and the stand-ins need.
type Site struct {
	Contact, Ack, Drain, Grace, ConfigApply, MaxStretch time.Duration
	// Promotion is how long a promotion takes.
	Promotion time.Duration
	// Slots and MaxConnections are those of a member.
	Slots, MaxConnections int
}

// The sites as SYSTEM.md gives them.
var (
	PvssoObs = Site{
		Contact: 4 * time.Second, Ack: 5 * time.Second, Drain: 7 * time.Second, Grace: 6 * time.Second, ConfigApply: 3 * time.Second, MaxStretch: 12 * time.Second,
		Promotion: 300 * time.Millisecond, Slots: 2, MaxConnections: 16,
	}
	RdvNotarial = Site{
		Contact: 5 * time.Second, Ack: 6 * time.Second, Drain: 7 * time.Second, Grace: 6 * time.Second, ConfigApply: 4 * time.Second, MaxStretch: 15 * time.Second,
		Promotion: 600 * time.Millisecond, Slots: 5, MaxConnections: 55,
	}
)
