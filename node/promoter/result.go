package promoter

// Result says how a promotion that this host led has ended.
type Result uint8

// The results.
const (
	// Succeeded means that the chosen member leads.
	Succeeded Result = iota
	// Failed means that no member was promoted; it is tried again.
	Failed
	// Fenced means that the platform has seen a newer token: another host leads a
	// promotion.
	Fenced
)

var resultNames = [...]string{"succeeded", "failed", "fenced"}

func (r Result) String() string { return resultNames[r] }

func resultOf(err error) Result {
	switch {
	case err == nil:
		return Succeeded
	case refused(err):
		return Fenced
	}
	return Failed
}
