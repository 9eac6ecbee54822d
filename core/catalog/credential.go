package catalog

import (
	"crypto/sha256"
	"encoding/hex"
)

// Credential stands for a caller's key. It is the key's digest: the key itself
// is not kept, and a look-up among digests takes no longer the more of a wrong
// key is right.
type Credential [sha256.Size]byte

// fingerprintBytes is how much of a digest tells one key from another in a log.
const fingerprintBytes = 4

// NewCredential returns the credential of a key.
func NewCredential(key string) Credential { return sha256.Sum256([]byte(key)) }

// Fingerprint names the key for operators without giving it away.
func (c Credential) Fingerprint() string { return hex.EncodeToString(c[:fingerprintBytes]) }
