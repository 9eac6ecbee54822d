// Package pgframe splits buffers of PostgreSQL protocol 3 messages into single
// messages.
package pgframe

import "encoding/binary"

// HeaderSize is the size of a message's type and length fields in bytes.
const HeaderSize = 5

// Size returns the total size of a message, including its type byte, from its
// header.
func Size(header []byte) int { return int(binary.BigEndian.Uint32(header[1:HeaderSize])) + 1 }

// Next splits the first message off buf. ok is false if buf does not start with
// a complete, valid message.
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
