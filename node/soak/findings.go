package soak

import (
	"fmt"
	"sync"
)

// maxFindings bounds the findings of one run; later ones are dropped.
const maxFindings = 50

// findings collects violations of guarantees. It is safe for concurrent use.
type findings struct {
	mu       sync.Mutex
	messages []string
}

func (f *findings) add(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.messages) < maxFindings {
		f.messages = append(f.messages, fmt.Sprintf(format, args...))
	}
}

func (f *findings) all() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.messages...)
}
