package connpool_test

import (
	"time"

	"github.com/dotterelswitch/dotterelswitch/core/connpool"
)

// beginOpen reports whether the pool requests a connection to be opened.
func beginOpen(p *connpool.Pool, now time.Duration) bool {
	_, due := p.BeginOpen(now)
	return due
}
