// Package apikeys handles the API keys of callers. A key exists in plain text
// only in the caller's request and in the output of "cuminwing keys new".
// Everything else uses its SHA-256 hash.
package apikeys

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"encoding/hex"
	"fmt"
)

// Prefix starts every key that New returns, so that secret scanners can detect
// leaked keys.
const Prefix = "cw-"

// keyBytes is the number of random bytes in a new key.
const keyBytes = 32

// Length is the number of characters of every key that New returns.
const Length = len(Prefix) + (keyBytes*8+5)/6

// Hash is the SHA-256 hash of a key.
type Hash [sha256.Size]byte

// New returns a random key.
func New() (string, error) {
	buf := make([]byte, keyBytes)
	if _, err := rand.Read(buf); err != nil {
		return "", fmt.Errorf("read random bytes for a new key: %w", err)
	}
	return Prefix + base64.RawURLEncoding.EncodeToString(buf), nil
}

// HashKey returns the hash of key.
func HashKey(key string) Hash {
	return sha256.Sum256([]byte(key))
}

// ParseHash decodes a hash from its hexadecimal encoding.
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

// String returns the hexadecimal encoding of the hash.
func (h Hash) String() string {
	return hex.EncodeToString(h[:])
}
