package catalog

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
)

// Credential is the SHA-256 digest of a caller's API key. The key itself is not
// stored, and the time of a look-up by digest does not reveal how much of a
// guessed key is correct.
type Credential [sha256.Size]byte

// fingerprintBytes is the length of the digest prefix that identifies a key in
// logs.
const fingerprintBytes = 4

func NewCredential(key string) Credential { return sha256.Sum256([]byte(key)) }

// String returns the digest in hexadecimal, the form used in declarations.
func (c Credential) String() string { return hex.EncodeToString(c[:]) }

// CredentialError reports a text that is not a hexadecimal SHA-256 digest.
type CredentialError struct{ Length int }

func (e *CredentialError) Error() string {
	return fmt.Sprintf("a text of %d characters is no SHA-256 digest in hexadecimal", e.Length)
}

// ParseCredential parses a hexadecimal digest. The error is a *CredentialError,
// which omits the text because it may be the key itself.
func ParseCredential(text string) (Credential, error) {
	digest, err := hex.DecodeString(text)
	if err != nil || len(digest) != sha256.Size {
		return Credential{}, &CredentialError{Length: len(text)}
	}
	return Credential(digest), nil
}

// Fingerprint identifies the key in logs and error messages without revealing it.
func (c Credential) Fingerprint() string { return hex.EncodeToString(c[:fingerprintBytes]) }
