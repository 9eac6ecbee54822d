package outcome

import (
	"fmt"
	"time"
)

// Refusal is the error of a request that was refused or failed.
type Refusal struct {
	Code   Code
	Detail string
	// RetryAfter is how long the caller should wait before a retry; zero means no
	// delay.
	RetryAfter time.Duration
}

// Refuse returns a Refusal with a formatted detail.
func Refuse(code Code, format string, args ...any) *Refusal {
	return &Refusal{Code: code, Detail: fmt.Sprintf(format, args...)}
}

// WithRetryAfter returns a copy of r with the given retry delay.
func (r *Refusal) WithRetryAfter(d time.Duration) *Refusal {
	delayed := *r
	delayed.RetryAfter = d
	return &delayed
}

func (r *Refusal) Error() string {
	info := r.Code.Info()
	if r.Detail == "" {
		return info.Meaning
	}
	return info.Meaning + ": " + r.Detail
}

// NotRun reports whether the request is known not to have been executed.
func (r *Refusal) NotRun() bool { return r.Code.Info().Ran == RanNo }
