// Package harness runs a small deployment for a review case: hosts as separate processes
// of the project's own program, the project's stand-ins for the platform and its members,
// and callers. It records what was sent, answered and run.
package harness

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// Record writes the lines of record.txt. It is safe for concurrent use.
type Record struct {
	start time.Time

	mu   sync.Mutex
	file *os.File
	out  *bufio.Writer
}

// NewRecord creates a record at a path. Its times are seconds since this call.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{start: time.Now(), file: file, out: bufio.NewWriter(file)}, nil
}

// Add writes one line.
func (r *Record) Add(format string, args ...any) { r.AddAt(time.Now(), format, args...) }

// AddAt writes one line for an earlier moment.
func (r *Record) AddAt(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%9.4f  %s\n", at.Sub(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Since returns the time since the start of the record.
func (r *Record) Since() time.Duration { return time.Since(r.start) }

// Close writes the remaining lines.
func (r *Record) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
