// Package crlf reads the messages of the users' line protocol, which end with CR LF. A CR
// or an LF alone is part of a message.
package crlf

import (
	"bufio"
	"io"
	"strings"
)

// End ends each message.
const End = "\r\n"

// Reader reads messages.
type Reader struct{ reader *bufio.Reader }

// NewReader returns a reader of messages from r.
func NewReader(r io.Reader) *Reader { return &Reader{reader: bufio.NewReader(r)} }

// Read reads one message and returns it without its end. After an error, it returns what
// was read of an incomplete message.
func (r *Reader) Read() (string, error) {
	var message strings.Builder
	for {
		part, err := r.reader.ReadString('\n')
		message.WriteString(part)
		if text, complete := strings.CutSuffix(message.String(), End); err != nil || complete {
			return text, err
		}
	}
}

// Buffered returns how many bytes have been received and not yet read.
func (r *Reader) Buffered() int { return r.reader.Buffered() }
