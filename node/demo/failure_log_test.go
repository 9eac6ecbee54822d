package demo_test

import (
	"bytes"
	"sync"
	"testing"

	"github.com/rs/zerolog"
)

// maxFailureLog bounds the log that a failed test prints, in bytes; the newest lines are
// kept.
const maxFailureLog = 1 << 20

// failureLog keeps the hosts' log lines, but for those of served statements, until the
// test ends.
type failureLog struct {
	mu    sync.Mutex
	lines bytes.Buffer
}

func (l *failureLog) Write(line []byte) (int, error) {
	if bytes.Contains(line, []byte(`"name":"statement_served"`)) {
		return len(line), nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lines.Len() > 2*maxFailureLog {
		l.lines.Next(maxFailureLog)
	}
	return l.lines.Write(line)
}

// newFailureLog returns a logger whose lines are printed if the test fails.
func newFailureLog(t *testing.T) zerolog.Logger {
	l := &failureLog{}
	t.Cleanup(func() {
		if t.Failed() {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.lines.Next(max(l.lines.Len()-maxFailureLog, 0))
			t.Logf("hosts' log:\n%s", l.lines.String())
		}
	})
	return zerolog.New(l).With().Timestamp().Logger()
}
