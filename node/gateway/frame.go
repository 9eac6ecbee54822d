package gateway

import (
	"encoding/binary"
	"math"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/dotterelswitch/dotterelswitch/core/outcome"
	"github.com/dotterelswitch/dotterelswitch/node/pgframe"
)

const (
	startupHeaderSize = 4
	// maxStartupBytes is the largest startup message, as in PostgreSQL.
	maxStartupBytes = 10_000
)

// frame is one message of a caller. msgType is zero for a startup message.
type frame struct {
	msgType byte
	body    []byte
}

// framer splits a caller's byte stream into messages.
type framer struct {
	buf     []byte
	started bool
	limit   int
}

// feed appends bytes and returns the complete messages.
func (f *framer) feed(data []byte) ([]frame, *outcome.Refusal) {
	f.buf = append(f.buf, data...)
	var out []frame
	for {
		fr, size, refusal := f.next()
		if refusal != nil {
			return out, refusal
		}
		if size == 0 {
			return out, nil
		}
		out = append(out, fr)
		f.buf = f.buf[size:]
		if len(f.buf) == 0 {
			f.buf = nil
		}
		if fr.msgType == 0 && f.endsStartup(fr.body) {
			f.started = true
		}
	}
}

// next returns the first message and its size, or size zero if the message is
// incomplete.
func (f *framer) next() (frame, int, *outcome.Refusal) {
	header, limit := pgframe.HeaderSize, f.limit
	if !f.started {
		header, limit = startupHeaderSize, maxStartupBytes
	}
	if len(f.buf) < header {
		return frame{}, 0, nil
	}
	length := int(binary.BigEndian.Uint32(f.buf[header-startupHeaderSize:]))
	// The length is a signed number that counts its own bytes.
	if length < startupHeaderSize || length > math.MaxInt32 {
		return frame{}, 0, outcome.Refuse(outcome.ProtocolViolation, "message length %d", length)
	}
	if length > limit {
		return frame{}, 0, outcome.Refuse(outcome.TooLarge, "the limit is %d bytes", limit)
	}
	size := length + header - startupHeaderSize
	if len(f.buf) < size {
		return frame{}, 0, nil
	}
	fr := frame{body: append([]byte(nil), f.buf[header:size]...)}
	if f.started {
		fr.msgType = f.buf[0]
	}
	return fr, size, nil
}

// endsStartup reports whether typed messages follow a startup message.
func (f *framer) endsStartup(body []byte) bool {
	return len(body) >= 4 && binary.BigEndian.Uint32(body) == pgproto3.ProtocolVersion30
}
