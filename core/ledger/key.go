// Package ledger implements idempotency keys. A request with a key inserts a row
// into the ledger table in the same transaction, so a repeated request finds the
// stored response. Rows are deleted by age. A key is a UUID of version 7 (RFC 9562),
// which contains its time, so a key whose row may have been deleted is rejected
// instead of executed again.
package ledger

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"github.com/google/uuid"
)

const (
	// MaxKeyAge is the maximum age of an accepted key.
	MaxKeyAge = 24 * time.Hour
	// MaxClockSkew is the maximum tolerated difference between two clocks. Rows are
	// retained for MaxKeyAge plus twice MaxClockSkew.
	MaxClockSkew = time.Hour
	// MaxAnswerBytes is the maximum size of a stored response.
	MaxAnswerBytes = 64 * 1024
)

const uuidVersion = 7

// fingerprintBytes is the length of the digest prefix that Fingerprint returns.
const fingerprintBytes = 16

// Key is a valid idempotency key.
type Key struct {
	id       uuid.UUID
	issuedAt time.Time
}

// KeyError reports a text that is not an idempotency key.
type KeyError struct {
	Text string
}

func (e *KeyError) Error() string {
	return fmt.Sprintf("idempotency key %q is not a UUID of version 7", e.Text)
}

// ParseKey parses a key. The error is a *KeyError.
func ParseKey(text string) (Key, error) {
	id, err := uuid.Parse(text)
	if err != nil || id.Version() != uuidVersion {
		return Key{}, &KeyError{Text: text}
	}
	seconds, nanos := id.Time().UnixTime()
	return Key{id: id, issuedAt: time.Unix(seconds, nanos)}, nil
}

// Expired reports whether the key is older than MaxKeyAge or more than MaxClockSkew
// in the future.
func (k Key) Expired(now time.Time) bool {
	age := now.Sub(k.issuedAt)
	return age > MaxKeyAge || age < -MaxClockSkew
}

// RowKey returns the primary key of the ledger row. It includes the team, so that
// teams may use the same key independently.
func (k Key) RowKey(team string) string { return team + "/" + k.id.String() }

// TrimCutoff returns the timestamp before which ledger rows may be deleted.
func TrimCutoff(now time.Time) string {
	return FormatTimestamp(now.Add(-MaxKeyAge - 2*MaxClockSkew))
}

// timestampFormat yields timestamps whose lexical order is their order in time.
const timestampFormat = "20060102T150405Z"

// FormatTimestamp returns the value of the time column of a row.
func FormatTimestamp(t time.Time) string { return t.UTC().Format(timestampFormat) }

// Fingerprint returns a digest of a request, which is stored to detect the reuse of a
// key with a different request.
func Fingerprint(frames []byte) string {
	sum := sha256.Sum256(frames)
	return hex.EncodeToString(sum[:fingerprintBytes])
}
