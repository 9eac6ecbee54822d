package outcome

import (
	"fmt"
	"time"
)

// Refusal is the error that a layer returns in place of an answer.
type Refusal struct {
	Code   Code
	Detail string
	// RetryAfter tells the caller when to come back; zero means at once.
	RetryAfter time.Duration
}

// Refuse returns a *Refusal with a formatted detail.
func Refuse(code Code, format string, args ...any) *Refusal {
	return &Refusal{Code: code, Detail: fmt.Sprintf(format, args...)}
}

// After returns a copy of r that asks the caller to wait for d.
func (r *Refusal) After(d time.Duration) *Refusal {
	next := *r
	next.RetryAfter = d
	return &next
}

func (r *Refusal) Error() string {
	info := r.Code.Info()
	if r.Detail == "" {
		return info.Meaning
	}
	return info.Meaning + ": " + r.Detail
}

// NotRun reports whether the request certainly did not run.
func (r *Refusal) NotRun() bool { return r.Code.Info().Ran == RanNo }
