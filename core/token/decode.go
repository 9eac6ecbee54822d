package token

import (
	"encoding/base64"
	"encoding/binary"
	"hash/crc32"

	"github.com/dotterelswitch/dotterelswitch/core/logpos"
)

// Decode parses a token. The empty string is the empty token. The error is a
// *DecodeError for any other text that Encode does not produce.
func Decode(text string) (Token, error) {
	if text == "" {
		return Token{}, nil
	}
	if len(text) > MaxEncodedBytes {
		return Token{}, &DecodeError{Reason: "it is too long"}
	}
	raw, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil {
		return Token{}, &DecodeError{Reason: "it is not base64url"}
	}
	if len(raw) < 1+checksumBytes {
		return Token{}, &DecodeError{Reason: "it is too short"}
	}
	if raw[0] != Version {
		return Token{}, &DecodeError{Reason: "its version is unknown"}
	}
	body, sum := raw[:len(raw)-checksumBytes], raw[len(raw)-checksumBytes:]
	if crc32.Checksum(body, castagnoli) != binary.BigEndian.Uint32(sum) {
		return Token{}, &DecodeError{Reason: "its checksum does not match"}
	}
	t, err := decodePositions(body[1:])
	if err != nil {
		return Token{}, err
	}
	if t.Encode() != text {
		return Token{}, &DecodeError{Reason: "it is not in canonical form"}
	}
	return t, nil
}

func decodePositions(body []byte) (Token, error) {
	r := reader{rest: body}
	count := r.uvarint()
	if count > MaxServices {
		return Token{}, &DecodeError{Reason: "it names too many services"}
	}
	t := Token{positions: make(map[string]logpos.Position, count)}
	for range count {
		service := r.name()
		p := logpos.Position{Term: logpos.Term(r.uvarint()), Offset: logpos.Offset(r.uvarint())}
		t.positions[service] = p
	}
	if r.failed || len(r.rest) != 0 {
		return Token{}, &DecodeError{Reason: "its contents are malformed"}
	}
	return t, nil
}

// reader reads values from a byte slice and records whether any read failed.
type reader struct {
	rest   []byte
	failed bool
}

func (r *reader) uvarint() uint64 {
	v, n := binary.Uvarint(r.rest)
	if n <= 0 {
		r.failed = true
		return 0
	}
	r.rest = r.rest[n:]
	return v
}

func (r *reader) name() string {
	if len(r.rest) == 0 {
		r.failed = true
		return ""
	}
	n := int(r.rest[0])
	if n == 0 || n > MaxServiceNameBytes || len(r.rest) < 1+n {
		r.failed = true
		return ""
	}
	name := string(r.rest[1 : 1+n])
	r.rest = r.rest[1+n:]
	return name
}
