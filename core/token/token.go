// Package token encodes the session token, which holds the newest log position that
// a caller has seen of each service. The caller passes the token with its requests,
// so a session may move between hosts that share no state.
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
	// MaxServices is the maximum number of services in one token. A session that
	// uses more gets an error: dropping a position would silently weaken its
	// consistency.
	MaxServices = 32
	// MaxServiceNameBytes is the maximum length of a service name.
	MaxServiceNameBytes = 63
	// MaxEncodedBytes is the maximum length of an encoded token.
	MaxEncodedBytes = 4096
)

const checksumBytes = 4

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Token maps services to positions. The zero value is an empty token.
type Token struct {
	positions map[string]logpos.Position
}

func (t Token) Position(service string) (logpos.Position, bool) {
	p, found := t.positions[service]
	return p, found
}

// Len is the number of services in the token.
func (t Token) Len() int { return len(t.positions) }

// Advance returns a token in which the position of service is at least p. The
// receiver is not modified. The error is a *LimitError if the result would exceed
// MaxServices or MaxServiceNameBytes.
func (t Token) Advance(service string, p logpos.Position) (Token, error) {
	old, found := t.positions[service]
	if found && !old.Less(p) {
		return t, nil
	}
	if !found && len(t.positions) >= MaxServices {
		return t, &LimitError{Unit: "services", Limit: MaxServices}
	}
	if len(service) == 0 || len(service) > MaxServiceNameBytes {
		return t, &LimitError{Unit: "service name bytes", Limit: MaxServiceNameBytes}
	}
	next := maps.Clone(t.positions)
	if next == nil {
		next = make(map[string]logpos.Position, 1)
	}
	next[service] = p
	return Token{positions: next}, nil
}

// Merge returns a token with the newer position of t and other for each service. The
// error is a *LimitError.
func (t Token) Merge(other Token) (Token, error) {
	var err error
	for _, service := range slices.Sorted(maps.Keys(other.positions)) {
		if t, err = t.Advance(service, other.positions[service]); err != nil {
			return t, err
		}
	}
	return t, nil
}

// Encode returns the text form: base64url of a version byte, the positions sorted by
// service name, and a CRC-32C that detects corruption. The token needs no signature: a
// forged position can only make its own caller wait or be refused.
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
