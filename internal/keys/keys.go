// Package keys handles caller keys. A key exists in clear text only in the
// caller's request and in the output of "cuminwing keys new"; everything else
// works on its SHA-256 hash.
package keys

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"encoding/hex"
	"fmt"
)

// Prefix starts every key that New makes, so that secret scanners can find
// leaked keys.
const Prefix = "cw-"

// keyBytes is the entropy of a new key in bytes.
const keyBytes = 32

// Length is the number of characters of every key that New makes.
const Length = len(Prefix) + (keyBytes*8+5)/6

// Hash is the SHA-256 hash of a caller key.
type Hash [sha256.Size]byte

// New returns a random key.
func New() (string, error) {
	buf := make([]byte, keyBytes)
	if _, err := rand.Read(buf); err != nil {
		return "", fmt.Errorf("read random bytes for a key: %w", err)
	}
	return Prefix + base64.RawURLEncoding.EncodeToString(buf), nil
}

// Sum returns the hash of key.
func Sum(key string) Hash {
	return sha256.Sum256([]byte(key))
}

// ParseHash decodes a hash from its hexadecimal form.
func ParseHash(s string) (Hash, error) {
	var h Hash
	buf, err := hex.DecodeString(s)
	if err != nil {
		return h, fmt.Errorf("key hash is not hexadecimal: %w", err)
	}
	if len(buf) != len(h) {
		return h, fmt.Errorf("key hash has %d bytes, want %d", len(buf), len(h))
	}
	copy(h[:], buf)
	return h, nil
}

// Equal compares two hashes in constant time.
func (h Hash) Equal(other Hash) bool {
	return subtle.ConstantTimeCompare(h[:], other[:]) == 1
}

// String returns the hexadecimal form.
func (h Hash) String() string {
	return hex.EncodeToString(h[:])
}
