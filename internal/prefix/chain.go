// Package prefix knows which targets hold which leading parts of prompts in
// their KV caches. The package does no I/O.
package prefix

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Hash names one block of a prompt together with everything before it. It is
// a routing hint of 64 bits: an engine or KV store keeps its blocks apart by
// ScopeDigest too, so that a collision can never reach another workspace or
// other weights.
type Hash uint64

const hashBytes = 8

// MarshalText writes 16 hexadecimal digits, because JSON numbers lose
// precision above 2^53.
func (h Hash) MarshalText() ([]byte, error) {
	var raw [hashBytes]byte
	binary.BigEndian.PutUint64(raw[:], uint64(h))
	return hex.AppendEncode(nil, raw[:]), nil
}

// UnmarshalText reads 16 hexadecimal digits.
func (h *Hash) UnmarshalText(text []byte) error {
	var raw [hashBytes]byte
	if len(text) != hex.EncodedLen(hashBytes) {
		return fmt.Errorf("block hash has %d digits, want %d", len(text), hex.EncodedLen(hashBytes))
	}
	if _, err := hex.Decode(raw[:], text); err != nil {
		return fmt.Errorf("block hash: %w", err)
	}
	*h = Hash(binary.BigEndian.Uint64(raw[:]))
	return nil
}

// Scope separates cache entries that must never be shared.
type Scope struct {
	// Workspace, Model, Version and Adapter are those of the request.
	Workspace, Model, Version, Adapter string
}

// ScopeDigest identifies a Scope.
type ScopeDigest [16]byte

// Digest returns a truncated SHA-256 of the fields, each with its length.
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
	// BytesPerToken is the router's estimate of the length of a token.
	BytesPerToken = 4
	// MaxBlocks bounds a chain, so that it fits into a request header.
	MaxBlocks = 512
)

// AppendChain appends the hashes of the whole blocks of text. The rest after
// the last whole block has no hash, because engines cache whole blocks only.
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

// FormatChain writes a chain for a request header.
func FormatChain(chain []Hash) string {
	raw := make([]byte, 0, len(chain)*hashBytes)
	for _, h := range chain {
		raw = binary.BigEndian.AppendUint64(raw, uint64(h))
	}
	return hex.EncodeToString(raw)
}

// ParseChain reads a chain from a request header.
func ParseChain(text string) ([]Hash, error) {
	raw, err := hex.DecodeString(text)
	if err != nil {
		return nil, fmt.Errorf("block chain: %w", err)
	}
	if len(raw)%hashBytes != 0 || len(raw) > MaxBlocks*hashBytes {
		return nil, fmt.Errorf("block chain has %d bytes", len(raw))
	}
	chain := make([]Hash, 0, len(raw)/hashBytes)
	for ; len(raw) > 0; raw = raw[hashBytes:] {
		chain = append(chain, Hash(binary.BigEndian.Uint64(raw)))
	}
	return chain, nil
}
