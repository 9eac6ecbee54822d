// Package ledger holds the rules of idempotency keys. A keyed request runs in
// one transaction with a row in the ledger table, so a repeated request finds
// the first one's answer. Rows are trimmed by age; a key carries its own time
// (it is a UUID of version 7, RFC 9562), so a key that may have been trimmed is
// recognised and refused instead of run again.
package ledger

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"github.com/google/uuid"
)

// Retention of ledger rows.
const (
	// AcceptFor is the greatest age of a key that is still accepted.
	AcceptFor = 24 * time.Hour
	// ClockSkew is the greatest difference between two clocks that the rules
	// tolerate. Rows are kept for AcceptFor plus twice this.
	ClockSkew = time.Hour
	// MaxAnswer is the largest answer that is kept for repeats, in bytes.
	MaxAnswer = 64 * 1024
)

const uuidVersion = 7

// Key is a checked idempotency key.
type Key struct {
	id     uuid.UUID
	issued time.Time
}

// KeyError reports a text that is not an idempotency key.
type KeyError struct {
	Text string
}

func (e *KeyError) Error() string {
	return fmt.Sprintf("idempotency key %q is not a UUID of version 7", e.Text)
}

// ParseKey reads a key.
func ParseKey(text string) (Key, error) {
	id, err := uuid.Parse(text)
	if err != nil || id.Version() != uuidVersion {
		return Key{}, &KeyError{Text: text}
	}
	seconds, nanos := id.Time().UnixTime()
	return Key{id: id, issued: time.Unix(seconds, nanos)}, nil
}

// Expired reports whether the key is too old to be accepted, or from further
// in the future than clocks differ.
func (k Key) Expired(now time.Time) bool {
	age := now.Sub(k.issued)
	return age > AcceptFor || age < -ClockSkew
}

// Row returns the ledger's primary key: teams do not share keys.
func (k Key) Row(team string) string { return team + "/" + k.id.String() }

// TrimBefore returns the age limit of ledger rows as the text that sorts
// before every row that must stay.
func TrimBefore(now time.Time) string {
	return Stamp(now.Add(-AcceptFor - 2*ClockSkew))
}

// stampFormat sorts as text in order of time.
const stampFormat = "20060102T150405Z"

// Stamp returns the time column of a row.
func Stamp(t time.Time) string { return t.UTC().Format(stampFormat) }

// Fingerprint identifies a request, so that a key that comes back with another
// request is refused.
func Fingerprint(frames []byte) string {
	sum := sha256.Sum256(frames)
	return hex.EncodeToString(sum[:16])
}
