package gateway

import (
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/dotterelswitch/dotterelswitch/core/outcome"
)

// encode appends messages to buf. Encoding errors are ignored, because the
// messages of this package always encode.
func encode(buf []byte, messages ...pgproto3.BackendMessage) []byte {
	for _, m := range messages {
		if next, err := m.Encode(buf); err == nil {
			buf = next
		}
	}
	return buf
}

// errorMessage converts a refusal to an ErrorResponse. The hint states whether the
// request ran and whether and when to retry.
func errorMessage(r *outcome.Refusal, severity string) *pgproto3.ErrorResponse {
	info := r.Code.Info()
	hint := fmt.Sprintf("outcome=%s ran=%s retry=%t", info.Name, info.Ran, info.Retry)
	if r.RetryAfter > 0 {
		hint += fmt.Sprintf(" retry_after_ms=%d", r.RetryAfter.Milliseconds())
	}
	return &pgproto3.ErrorResponse{
		Severity: severity, SeverityUnlocalized: severity, Code: info.SQLState,
		Message: r.Error(), Hint: hint,
	}
}

func fatalMessage(r *outcome.Refusal) []byte {
	return encode(nil, errorMessage(r, "FATAL"))
}
