// Package prefix tracks which targets hold which prompt prefixes in their KV
// caches. It does no I/O.
package prefix

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Hash identifies a block of a prompt together with everything before it. It is
// a 64-bit routing hint: engines and KV stores also separate their blocks by
// ScopeDigest, so a collision never reaches another workspace or other weights.
type Hash uint64

const hashBytes = 8

// MarshalText encodes the hash as 16 hexadecimal digits, because JSON numbers
// lose precision above 2^53.
func (h Hash) MarshalText() ([]byte, error) {
	var raw [hashBytes]byte
	binary.BigEndian.PutUint64(raw[:], uint64(h))
	return hex.AppendEncode(nil, raw[:]), nil
}

// UnmarshalText decodes 16 hexadecimal digits.
func (h *Hash) UnmarshalText(text []byte) error {
	var raw [hashBytes]byte
	if len(text) != hex.EncodedLen(hashBytes) {
		return fmt.Errorf("block hash has %d digits, want %d", len(text), hex.EncodedLen(hashBytes))
	}
	if _, err := hex.Decode(raw[:], text); err != nil {
		return fmt.Errorf("decode block hash: %w", err)
	}
	*h = Hash(binary.BigEndian.Uint64(raw[:]))
	return nil
}

// Scope separates cache entries that must never be shared.
type Scope struct {
	Workspace, Model, Version, Adapter string
}

// ScopeDigest identifies a Scope.
type ScopeDigest [16]byte

// Digest returns a truncated SHA-256 of the fields, each prefixed with its
// length.
func (s Scope) Digest() ScopeDigest {
	var buf []byte
	for _, field := range []string{s.Workspace, s.Model, s.Version, s.Adapter} {
		buf = binary.AppendUvarint(buf, uint64(len(field)))
		buf = append(buf, field...)
	}
	sum := sha256.Sum256(buf)
	return ScopeDigest(sum[:])
}

const (
	// BytesPerToken is the router's estimate of the average token length.
	BytesPerToken = 4
	// MaxBlocks limits the length of a chain, so that it fits into a request
	// header.
	MaxBlocks = 512
)

// AppendChain appends the hashes of the whole blocks of text. The remainder
// after the last whole block has no hash, because engines cache whole blocks
// only.
func AppendChain(dst []Hash, scope ScopeDigest, text string, blockTokens int) []Hash {
	size := max(1, blockTokens) * BytesPerToken
	previous := xxhash.Sum64(scope[:])
	var digest xxhash.Digest
	var seed [hashBytes]byte
	for n := 0; len(text) >= size && n < MaxBlocks; n++ {
		binary.BigEndian.PutUint64(seed[:], previous)
		digest.Reset()
		_, _ = digest.Write(seed[:])
		_, _ = digest.WriteString(text[:size])
		previous = digest.Sum64()
		dst = append(dst, Hash(previous))
		text = text[size:]
	}
	return dst
}

// FormatChain encodes a chain for a request header.
func FormatChain(chain []Hash) string {
	raw := make([]byte, 0, len(chain)*hashBytes)
	for _, h := range chain {
		raw = binary.BigEndian.AppendUint64(raw, uint64(h))
	}
	return hex.EncodeToString(raw)
}

// ParseChain decodes a chain from a request header.
func ParseChain(text string) ([]Hash, error) {
	raw, err := hex.DecodeString(text)
	if err != nil {
		return nil, fmt.Errorf("decode block hash chain: %w", err)
	}
	if len(raw)%hashBytes != 0 || len(raw) > MaxBlocks*hashBytes {
		return nil, fmt.Errorf("block hash chain has %d bytes, want a multiple of 8 up to 4096", len(raw))
	}
	chain := make([]Hash, 0, len(raw)/hashBytes)
	for ; len(raw) > 0; raw = raw[hashBytes:] {
		chain = append(chain, Hash(binary.BigEndian.Uint64(raw)))
	}
	return chain, nil
}
