// Package loopback allocates loopback addresses for test processes.
package loopback

import (
	"errors"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
)

// Listener ports lie below the ephemeral port range, so that no outgoing
// connection takes a port between its choice and its use. They are divided into
// blocks, each of which belongs to one process.
const (
	firstPort  = 10_000
	portCount  = 22_000
	blockSize  = 250
	blockCount = portCount / blockSize
	// maxBlocks bounds the blocks of one process, which uses its ports again after that:
	// some ten test processes run side by side.
	maxBlocks = 8
)

// allocator hands out the ports of the blocks that this process has locked.
type allocator struct {
	mu sync.Mutex
	// next is the next port of the current block, and end the first port after it.
	next, end int
	// blocks are the locked blocks, and reused is the number of times that one of them has
	// been used again.
	blocks []int
	reused int
	// nextBlock is the next block to try.
	nextBlock int
	// locks keeps the lock files of the blocks open. The kernel releases them when the
	// process ends.
	locks []*os.File
}

var ports = allocator{nextBlock: os.Getpid() % blockCount}

var errNoPort = errors.New("no free loopback port in the listener range")

// nextAddress returns the next address of the blocks that belong to this process.
func (a *allocator) nextAddress() (string, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.next == a.end {
		block, err := a.nextOwnBlock()
		if err != nil {
			return "", err
		}
		a.next, a.end = firstPort+block*blockSize, firstPort+(block+1)*blockSize
	}
	port := a.next
	a.next++
	return net.JoinHostPort("127.0.0.1", strconv.Itoa(port)), nil
}

// nextOwnBlock returns a newly locked block, or one that this process has used before if
// it may have no further one. It is called with mu held.
func (a *allocator) nextOwnBlock() (int, error) {
	if len(a.blocks) < maxBlocks {
		block, err := a.claimBlock()
		if err == nil {
			a.blocks = append(a.blocks, block)
			return block, nil
		}
		if !errors.Is(err, errNoPort) || len(a.blocks) == 0 {
			return 0, err
		}
	}
	block := a.blocks[a.reused%len(a.blocks)]
	a.reused++
	return block, nil
}

// claimBlock locks a block that no process has. It is called with mu held.
func (a *allocator) claimBlock() (int, error) {
	dir := filepath.Join(os.TempDir(), lockDirectory+strconv.Itoa(os.Getuid()))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return 0, err
	}
	for range blockCount {
		block := a.nextBlock
		a.nextBlock = (a.nextBlock + 1) % blockCount
		f, err := os.OpenFile(filepath.Join(dir, strconv.Itoa(block)), os.O_CREATE|os.O_RDWR, 0o600)
		if err != nil {
			return 0, err
		}
		if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err == nil {
			a.locks = append(a.locks, f)
			return block, nil
		}
		// Another process has it, or this one.
		_ = f.Close()
	}
	return 0, errNoPort
}

// lockDirectory is the directory with the lock files of the blocks, without the user's ID,
// below the directory for temporary files.
const lockDirectory = "dotterelswitch-ports-"

// FreeAddress returns a loopback address that is free for TCP and UDP. No other
// process gets it while this one runs, and this one gets it again only after all others
// that it may have.
func FreeAddress() (string, error) {
	for range portCount {
		address, err := ports.nextAddress()
		if err != nil {
			return "", err
		}
		if isFree(address) {
			return address, nil
		}
	}
	return "", errNoPort
}

// Listen returns a listener on a free loopback address. No outgoing connection or other
// process takes its port after it closes, so that the address can be reused.
func Listen() (net.Listener, error) {
	for range portCount {
		address, err := ports.nextAddress()
		if err != nil {
			return nil, err
		}
		if l, err := net.Listen("tcp", address); err == nil {
			return l, nil
		}
	}
	return nil, errNoPort
}

func isFree(address string) bool {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	defer func() { _ = l.Close() }()
	p, err := net.ListenPacket("udp", address)
	if err != nil {
		return false
	}
	return p.Close() == nil
}
