package answerproxy

import (
	"slices"
	"strings"
	"sync"
)

// Answer is a success that a member sent for a caller's statement.
type Answer struct {
	Signature string
	Rows      []string
}

// Message is a statement that reached a member, or a message of an unknown kind, without an
// ID.
type Message struct{ Member, ID, Text string }

// Recorder records what reaches the members behind several proxies, and what they answer.
// It is safe for concurrent use.
type Recorder struct {
	mu       sync.Mutex
	messages []Message
	answers  map[string][]Answer
	repeated int
}

// NewRecorder returns an empty recorder.
func NewRecorder() *Recorder { return &Recorder{answers: map[string][]Answer{}} }

func (r *Recorder) message(m Message) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.messages = append(r.messages, m)
}

func (r *Recorder) answer(id string, a Answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answers[id] = append(r.answers[id], a)
}

func (r *Recorder) repeat() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.repeated++
}

// Messages returns the statements of callers that reached members. The statements of hosts,
// whose ID is "-", are left out.
func (r *Recorder) Messages() []Message {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.messages)
}

// Repeated returns how many answers were sent a second time.
func (r *Recorder) Repeated() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.repeated
}

// Gave reports whether a member answered the statement with the ID so.
func (r *Recorder) Gave(id string, a Answer) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.ContainsFunc(r.answers[id], func(b Answer) bool {
		return a.Signature == b.Signature && slices.Equal(a.Rows, b.Rows)
	})
}

// parseStatement splits a QUERY message into its ID and its text, without the position that
// a host puts before it.
func parseStatement(message string) (id, text string, isStatement bool) {
	rest, isStatement := strings.CutPrefix(message, "QUERY ")
	if !isStatement {
		return "", message, false
	}
	id, text, _ = strings.Cut(rest, " ")
	if after, found := strings.CutPrefix(text, "AFTER "); found {
		_, text, _ = strings.Cut(after, " ")
	}
	return id, text, isStatement
}
