// Package pgframe cuts buffers of PostgreSQL messages (protocol version 3) into
// single messages.
package pgframe

import "encoding/binary"

// HeaderSize is the length of a message's type and length fields.
const HeaderSize = 5

// Size returns the length of a whole message from its header, type included.
func Size(header []byte) int { return int(binary.BigEndian.Uint32(header[1:HeaderSize])) + 1 }

// Next splits the first message off a buffer. It returns false at the end of
// the buffer, or where the rest is no whole message.
func Next(buf []byte) (message, rest []byte, ok bool) {
	if len(buf) < HeaderSize {
		return nil, buf, false
	}
	size := Size(buf)
	if size < HeaderSize || size > len(buf) {
		return nil, buf, false
	}
	return buf[:size], buf[size:], true
}
