package soak

import (
	"fmt"
	"sync"
)

// maxFindings bounds what one run reports; the first tell most.
const maxFindings = 50

// findings collects what was not as promised. It is safe for concurrent use.
type findings struct {
	mu   sync.Mutex
	list []string
}

func (f *findings) add(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.list) < maxFindings {
		f.list = append(f.list, fmt.Sprintf(format, args...))
	}
}

func (f *findings) all() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.list...)
}
