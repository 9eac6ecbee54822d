package netem

import (
	"net"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestReadsMayOverlap: a connection's methods may be called from several
// goroutines. The PostgreSQL client does so when it closes a connection while
// its background reader waits. Each reader also has to see the end.
func TestReadsMayOverlap(t *testing.T) {
	const size = 2000
	near, far := net.Pipe()
	c := newConn(near, New(nil, Latency{}), "a", "b", 0)
	defer func() { require.NoError(t, c.Close()) }()
	go func() {
		for range size {
			if _, err := far.Write([]byte{1}); err != nil {
				return
			}
		}
		_ = far.Close()
	}()
	var mu sync.Mutex
	got := 0
	var wg sync.WaitGroup
	for range 2 {
		wg.Go(func() {
			buf := make([]byte, 1)
			for {
				n, err := c.Read(buf)
				mu.Lock()
				got += n
				mu.Unlock()
				if err != nil {
					return
				}
			}
		})
	}
	wg.Wait()
	require.Equal(t, size, got)
}
