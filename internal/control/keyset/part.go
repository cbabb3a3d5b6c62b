// Package keyset holds the withdrawn keys as a replicated, grow-only set. The
// package does no I/O.
package keyset

import (
	"bytes"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cuminwing/cuminwing/internal/keys"
	keysv1 "github.com/cuminwing/cuminwing/proto/keys/v1"
	"google.golang.org/protobuf/proto"
)

// Part is the withdrawn-keys part of the replicated state. Contains may be
// called by any goroutine.
type Part struct {
	added func([]keys.Hash)

	mu  sync.RWMutex
	set map[keys.Hash]struct{}
}

// NewPart returns an empty part. It calls added with the keys of each command
// and of each restored state.
func NewPart(added func([]keys.Hash)) *Part {
	return &Part{added: added, set: make(map[keys.Hash]struct{})}
}

// EncodeWithdrawal returns the command that withdraws hashes.
func EncodeWithdrawal(hashes []keys.Hash) []byte {
	// A message of this package's own making always encodes.
	data, _ := proto.Marshal(&keysv1.Withdrawal{Hashes: ToBytes(hashes)})
	return data
}

// DecodeWithdrawal returns the hashes of a command or of an encoded state.
func DecodeWithdrawal(data []byte) ([]keys.Hash, error) {
	var message keysv1.Withdrawal
	if err := proto.Unmarshal(data, &message); err != nil {
		return nil, fmt.Errorf("decode withdrawal: %w", err)
	}
	return FromBytes(message.GetHashes())
}

// ToBytes returns hashes in their wire form.
func ToBytes(hashes []keys.Hash) [][]byte {
	out := make([][]byte, len(hashes))
	for i := range hashes {
		out[i] = hashes[i][:]
	}
	return out
}

// FromBytes returns hashes from their wire form.
func FromBytes(raw [][]byte) ([]keys.Hash, error) {
	out := make([]keys.Hash, len(raw))
	for i, b := range raw {
		if len(b) != len(out[i]) {
			return nil, fmt.Errorf("key hash has %d bytes, want %d", len(b), len(out[i]))
		}
		copy(out[i][:], b)
	}
	return out, nil
}

// Apply implements control.Part. The answer is empty.
func (p *Part) Apply(_ uint64, _ time.Time, body []byte) []byte {
	hashes, err := DecodeWithdrawal(body)
	if err != nil {
		// The command cannot have come from EncodeWithdrawal; it changes
		// nothing on any voter.
		return nil
	}
	p.add(hashes)
	return nil
}

func (p *Part) add(hashes []keys.Hash) {
	p.mu.Lock()
	for _, h := range hashes {
		p.set[h] = struct{}{}
	}
	p.mu.Unlock()
	p.added(hashes)
}

// Contains reports whether the log has committed the withdrawal of h.
func (p *Part) Contains(h keys.Hash) bool {
	p.mu.RLock()
	defer p.mu.RUnlock()
	_, ok := p.set[h]
	return ok
}

// Snapshot implements control.Part.
func (p *Part) Snapshot() ([]byte, error) {
	p.mu.RLock()
	hashes := make([]keys.Hash, 0, len(p.set))
	for h := range p.set {
		hashes = append(hashes, h)
	}
	p.mu.RUnlock()
	slices.SortFunc(hashes, func(a, b keys.Hash) int { return bytes.Compare(a[:], b[:]) })
	return EncodeWithdrawal(hashes), nil
}

// Restore implements control.Part. The set only grows, so keys that are known
// already stay.
func (p *Part) Restore(data []byte) error {
	hashes, err := DecodeWithdrawal(data)
	if err != nil {
		return err
	}
	p.add(hashes)
	return nil
}
