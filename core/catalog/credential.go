package catalog

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
)

// Credential stands for a caller's key. It is the key's digest: the key itself
// is not kept, and a look-up among digests takes no longer the more of a wrong
// key is right.
type Credential [sha256.Size]byte

// fingerprintBytes is how much of a digest tells one key from another in a log.
const fingerprintBytes = 4

// NewCredential returns the credential of a key.
func NewCredential(key string) Credential { return sha256.Sum256([]byte(key)) }

// String returns the whole digest, as declarations write it.
func (c Credential) String() string { return hex.EncodeToString(c[:]) }

// CredentialError is a text that is no credential.
type CredentialError struct{ Length int }

func (e *CredentialError) Error() string {
	return fmt.Sprintf("a text of %d characters is no SHA-256 digest in hexadecimal", e.Length)
}

// ParseCredential reads a digest. An error is a *CredentialError; it does not show
// the text, which may be the key itself.
func ParseCredential(text string) (Credential, error) {
	digest, err := hex.DecodeString(text)
	if err != nil || len(digest) != sha256.Size {
		return Credential{}, &CredentialError{Length: len(text)}
	}
	return Credential(digest), nil
}

// Fingerprint names the key for operators without giving it away.
func (c Credential) Fingerprint() string { return hex.EncodeToString(c[:fingerprintBytes]) }
