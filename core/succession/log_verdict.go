package succession

// LogVerdict is the result of a LogCheck.
type LogVerdict uint8

const (
	// LogUndecided means that another round is needed.
	LogUndecided LogVerdict = iota
	// LogComplete means that no replica shows the primary's log to be longer than it is.
	LogComplete
	// LogLost means that the primary has lost entries that replicas have.
	LogLost
	// LogUnbounded means that no replica knows the primary's term, so that nothing shows how
	// long its log was.
	LogUnbounded
)
