// Package socket looks at what a connection has received, without waiting.
package socket

import (
	"errors"
	"syscall"

	"golang.org/x/sys/unix"
)

// drainBufferBytes is how much Drain reads at once.
const drainBufferBytes = 4 << 10

// Received reports whether data has arrived, and whether the connection is open as far as
// that tells. It leaves the data there.
func Received(conn syscall.RawConn) (data, open bool) {
	err := conn.Read(func(fd uintptr) bool {
		var buf [1]byte
		data, open = receive(fd, buf[:], unix.MSG_PEEK)
		return true
	})
	return data, open && err == nil
}

// Drain drops what has arrived and reports whether the connection is still open.
func Drain(conn syscall.RawConn) (open bool) {
	err := conn.Read(func(fd uintptr) bool {
		var buf [drainBufferBytes]byte
		for data := true; data; {
			data, open = receive(fd, buf[:], 0)
		}
		return true
	})
	return open && err == nil
}

func receive(fd uintptr, buf []byte, flags int) (data, open bool) {
	n, _, err := unix.Recvfrom(int(fd), buf, flags|unix.MSG_DONTWAIT)
	return n > 0, n > 0 || errors.Is(err, unix.EAGAIN) || errors.Is(err, unix.EINTR)
}
