package harness

import (
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/dotterelswitch/dotterelswitch/standin/linecaller"
	"github.com/dotterelswitch/dotterelswitch/standin/lineplatform"
)

// Record is the file that lists what was sent, answered and run. It is safe for concurrent
// use.
type Record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

// NewRecord creates the file.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	return &Record{file: f, started: time.Now()}, err
}

// Add writes one line with the time since the start.
func (r *Record) Add(format string, args ...any) { r.addAt(time.Now(), format, args...) }

func (r *Record) addAt(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f s  %s\n", at.Sub(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// AddRuns writes what the members of a group ran.
func (r *Record) AddRuns(runs []lineplatform.Execution) {
	for _, run := range runs {
		r.addAt(run.ExecutedAt, "ran %s on %s in member transaction %d: %s", run.ID, run.Member, run.TxID, run.Text)
	}
}

// Session is a caller's session whose statements are recorded.
type Session struct {
	*linecaller.Session
	Name   string
	record *Record
}

// Open opens a session on a host.
func (r *Record) Open(h *Host, database, name string, timeout time.Duration) (*Session, error) {
	s, err := linecaller.Open(h.Address, database, name, timeout)
	if err != nil {
		r.Add("session %s on %s: %v", name, h.Name, err)
		return nil, err
	}
	r.Add("session %s opened on %s", name, h.Name)
	return &Session{Session: s, Name: name, record: r}, nil
}

// Run sends a statement and waits for its answer.
func (s *Session) Run(text string) (linecaller.Answer, error) {
	s.record.Add("sent %s: %s", s.NextID(), text)
	a, err := s.Session.Run(text)
	switch {
	case err != nil:
		s.record.Add("no answer to %s: %v", a.ID, err)
	case a.Code != "":
		s.record.Add("answer to %s: ERROR %s %s, state %s", a.ID, a.Code, a.Detail, a.State)
	default:
		s.record.Add("answer to %s: COMPLETE %s rows %v, state %s", a.ID, a.Signature, a.Rows, a.State)
	}
	return a, err
}
