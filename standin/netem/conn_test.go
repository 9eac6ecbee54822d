package netem

import (
	"net"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against concurrent reads that lose data or miss the end of the stream.
// The PostgreSQL client closes a connection while its background reader waits.
func TestConcurrentReadsReceiveAllData(t *testing.T) {
	const size = 2000
	local, remote := net.Pipe()
	c := newConn(local, New(nil, Latency{}), "a", "b", 0)
	defer func() { require.NoError(t, c.Close()) }()
	go func() {
		for range size {
			if _, err := remote.Write([]byte{1}); err != nil {
				return
			}
		}
		_ = remote.Close()
	}()
	var mu sync.Mutex
	received := 0
	var wg sync.WaitGroup
	for range 2 {
		wg.Go(func() {
			buf := make([]byte, 1)
			for {
				n, err := c.Read(buf)
				mu.Lock()
				received += n
				mu.Unlock()
				if err != nil {
					return
				}
			}
		})
	}
	wg.Wait()
	require.Equal(t, size, received)
}
