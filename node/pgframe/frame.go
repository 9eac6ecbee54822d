// Package pgframe splits buffers of PostgreSQL protocol 3 messages into single
// messages.
package pgframe

import (
	"encoding/binary"
	"math"
)

const (
	// HeaderSize is the size of a message's type and length fields in bytes.
	HeaderSize = 5
	// lengthSize is the size of the length field, which counts itself.
	lengthSize = HeaderSize - 1
)

// Size returns the total size of a message, including its type byte, from its
// header. ok is false if the length is not valid: it is a signed number and counts its
// own four bytes.
func Size(header []byte) (size int, ok bool) {
	length := binary.BigEndian.Uint32(header[1:HeaderSize])
	return int(length) + 1, length >= lengthSize && length < math.MaxInt32
}

// Next splits the first message off buf. ok is false if buf does not start with
// a complete, valid message.
func Next(buf []byte) (message, rest []byte, ok bool) {
	if len(buf) < HeaderSize {
		return nil, buf, false
	}
	size, valid := Size(buf)
	if !valid || size > len(buf) {
		return nil, buf, false
	}
	return buf[:size], buf[size:], true
}
