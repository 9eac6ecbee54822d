package store

// Stage is how far a call got that was not answered.
type Stage uint8

const (
	// StageUnknown: the client does not tell.
	StageUnknown Stage = iota
	// StageConnecting: the call was not sent, as no connection was established.
	StageConnecting
	// StageWaiting: the call was sent, and no byte of a response arrived.
	StageWaiting
	// StageReceiving: a part of the response arrived.
	StageReceiving
)

var stageNames = [...]string{"", "connecting", "waiting", "receiving"}

func (s Stage) String() string { return stageNames[s] }
