package connpool_test

import (
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/connpool"
)

// opens reports whether the pool wants a connection opened.
func opens(p *connpool.Pool, now time.Duration) bool {
	_, due := p.ShouldOpen(now)
	return due
}
