package gateway

import (
	"encoding/binary"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/dotterelswitch/dotterelswitch/core/outcome"
	"github.com/dotterelswitch/dotterelswitch/node/pgframe"
)

const (
	startupHeader = 4
	// maxStartup is the largest start-up message, as in PostgreSQL.
	maxStartup = 10_000
)

// frame is one message of a caller: its type, zero during start-up, and body.
type frame struct {
	kind byte
	body []byte
}

// framer cuts a caller's byte stream into messages.
type framer struct {
	buf     []byte
	started bool
	limit   int
}

// feed adds bytes and returns the messages that are complete.
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
		if fr.kind == 0 && f.endsStartup(fr.body) {
			f.started = true
		}
	}
}

// next returns the first message and its size, or size zero when it is not
// complete yet.
func (f *framer) next() (frame, int, *outcome.Refusal) {
	header, limit := pgframe.HeaderSize, f.limit
	if !f.started {
		header, limit = startupHeader, maxStartup
	}
	if len(f.buf) < header {
		return frame{}, 0, nil
	}
	length := int(binary.BigEndian.Uint32(f.buf[header-startupHeader:]))
	if length < startupHeader {
		return frame{}, 0, outcome.Refuse(outcome.ProtocolViolation, "message length %d", length)
	}
	if length > limit {
		return frame{}, 0, outcome.Refuse(outcome.TooLarge, "the limit is %d bytes", limit)
	}
	size := length + header - startupHeader
	if len(f.buf) < size {
		return frame{}, 0, nil
	}
	fr := frame{body: append([]byte(nil), f.buf[header:size]...)}
	if f.started {
		fr.kind = f.buf[0]
	}
	return fr, size, nil
}

// endsStartup reports whether typed messages follow a start-up message.
func (f *framer) endsStartup(body []byte) bool {
	return len(body) >= 4 && binary.BigEndian.Uint32(body) == pgproto3.ProtocolVersion30
}
