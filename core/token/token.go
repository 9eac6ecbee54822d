// Package token encodes the session token: for each service the newest log
// position that a caller has seen. The token travels with the caller, so a
// session may move between hosts without any state shared among them.
package token

import (
	"encoding/base64"
	"encoding/binary"
	"hash/crc32"
	"maps"
	"slices"

	"github.com/dotterelswitch/dotterelswitch/core/logpos"
)

// Limits of the encoded form.
const (
	// Version is the first byte of every token.
	Version = 1
	// MaxServices is the most services one token may name. The service whose
	// position is least recent cannot be known, so a session that touches more
	// gets an error instead of a weaker promise.
	MaxServices = 32
	// MaxServiceName is the longest service name, in bytes.
	MaxServiceName = 63
	// MaxEncoded is the longest text that Decode looks at, in bytes.
	MaxEncoded = 4096
)

const checksumBytes = 4

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Token maps services to positions. The zero value is an empty token.
type Token struct {
	positions map[string]logpos.Position
}

// Position returns the position recorded for service.
func (t Token) Position(service string) (logpos.Position, bool) {
	p, found := t.positions[service]
	return p, found
}

// Len returns the number of services named.
func (t Token) Len() int { return len(t.positions) }

// Advance returns a token in which service is at p or later. The receiver is
// unchanged. Naming more than MaxServices services is a *LimitError.
func (t Token) Advance(service string, p logpos.Position) (Token, error) {
	old, found := t.positions[service]
	if found && !old.Less(p) {
		return t, nil
	}
	if !found && len(t.positions) >= MaxServices {
		return t, &LimitError{What: "services", Limit: MaxServices}
	}
	if len(service) == 0 || len(service) > MaxServiceName {
		return t, &LimitError{What: "service name bytes", Limit: MaxServiceName}
	}
	next := maps.Clone(t.positions)
	if next == nil {
		next = make(map[string]logpos.Position, 1)
	}
	next[service] = p
	return Token{positions: next}, nil
}

// Merge returns a token at least as new as both t and u.
func (t Token) Merge(u Token) (Token, error) {
	var err error
	for _, service := range slices.Sorted(maps.Keys(u.positions)) {
		if t, err = t.Advance(service, u.positions[service]); err != nil {
			return t, err
		}
	}
	return t, nil
}

// Encode returns the text form: base64url of a version byte, the positions in
// order of service name, and a CRC-32C that tells a damaged token from a valid
// one. It is no protection against forgery: a forged position can only make
// its own caller wait or be refused.
func (t Token) Encode() string {
	buf := []byte{Version}
	buf = binary.AppendUvarint(buf, uint64(len(t.positions)))
	for _, service := range slices.Sorted(maps.Keys(t.positions)) {
		p := t.positions[service]
		buf = append(buf, byte(len(service)))
		buf = append(buf, service...)
		buf = binary.AppendUvarint(buf, uint64(p.Term))
		buf = binary.AppendUvarint(buf, uint64(p.Offset))
	}
	buf = binary.BigEndian.AppendUint32(buf, crc32.Checksum(buf, castagnoli))
	return base64.RawURLEncoding.EncodeToString(buf)
}
