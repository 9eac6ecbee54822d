package succession

// LogStanding tells whether a member can be relied on as the primary.
type LogStanding uint8

const (
	// LogUnknown means that the log has to be compared with the replicas' first.
	LogUnknown LogStanding = iota
	// LogTrustEnded means that it was trusted because nobody could tell, and is due to be
	// compared again.
	LogTrustEnded
	// LogTrusted means that nobody can tell at present.
	LogTrusted
	// LogVouched means that it is known how far the log went.
	LogVouched
)
