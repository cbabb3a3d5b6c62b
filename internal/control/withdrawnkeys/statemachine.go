// Package withdrawnkeys implements the replicated, grow-only set of withdrawn
// API keys. The package does no I/O.
package withdrawnkeys

import (
	"bytes"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cuminwing/cuminwing/internal/apikeys"
	keysv1 "github.com/cuminwing/cuminwing/proto/keys/v1"
	"google.golang.org/protobuf/proto"
)

// StateMachine is the replicated set of withdrawn keys. Any goroutine may call
// Contains.
type StateMachine struct {
	onAdd func([]apikeys.Hash)

	mu  sync.RWMutex
	set map[apikeys.Hash]struct{}
}

// NewStateMachine returns an empty set. It calls onAdd with the hashes of each
// command and of each restored snapshot.
func NewStateMachine(onAdd func([]apikeys.Hash)) *StateMachine {
	return &StateMachine{onAdd: onAdd, set: make(map[apikeys.Hash]struct{})}
}

// EncodeWithdrawal returns the command that withdraws the keys with the given
// hashes.
func EncodeWithdrawal(hashes []apikeys.Hash) []byte {
	// Marshal does not fail on a message built by this package.
	data, _ := proto.Marshal(&keysv1.Withdrawal{Hashes: EncodeHashes(hashes)})
	return data
}

// DecodeWithdrawal returns the hashes in a command or a snapshot.
func DecodeWithdrawal(data []byte) ([]apikeys.Hash, error) {
	var message keysv1.Withdrawal
	if err := proto.Unmarshal(data, &message); err != nil {
		return nil, fmt.Errorf("decode key withdrawal: %w", err)
	}
	return DecodeHashes(message.GetHashes())
}

// EncodeHashes converts hashes to their wire format.
func EncodeHashes(hashes []apikeys.Hash) [][]byte {
	out := make([][]byte, len(hashes))
	for i := range hashes {
		out[i] = hashes[i][:]
	}
	return out
}

// DecodeHashes converts hashes from their wire format.
func DecodeHashes(raw [][]byte) ([]apikeys.Hash, error) {
	out := make([]apikeys.Hash, len(raw))
	for i, b := range raw {
		if len(b) != len(out[i]) {
			return nil, fmt.Errorf("key hash has %d bytes, want %d", len(b), len(out[i]))
		}
		copy(out[i][:], b)
	}
	return out, nil
}

// Apply implements control.StateMachine. The response is empty.
func (m *StateMachine) Apply(_ uint64, _ time.Time, body []byte) []byte {
	hashes, err := DecodeWithdrawal(body)
	if err != nil {
		// EncodeWithdrawal never produces such a command. Every voter ignores
		// it, so the replicas stay identical.
		return nil
	}
	m.add(hashes)
	return nil
}

func (m *StateMachine) add(hashes []apikeys.Hash) {
	m.mu.Lock()
	for _, h := range hashes {
		m.set[h] = struct{}{}
	}
	m.mu.Unlock()
	m.onAdd(hashes)
}

// Contains reports whether the withdrawal of the key with hash h is committed
// and applied.
func (m *StateMachine) Contains(h apikeys.Hash) bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	_, ok := m.set[h]
	return ok
}

// Snapshot implements control.StateMachine.
func (m *StateMachine) Snapshot() ([]byte, error) {
	m.mu.RLock()
	hashes := make([]apikeys.Hash, 0, len(m.set))
	for h := range m.set {
		hashes = append(hashes, h)
	}
	m.mu.RUnlock()
	slices.SortFunc(hashes, func(a, b apikeys.Hash) int { return bytes.Compare(a[:], b[:]) })
	return EncodeWithdrawal(hashes), nil
}

// Restore implements control.StateMachine. Because the set only grows, Restore
// adds to it and keeps the keys that it already contains.
func (m *StateMachine) Restore(data []byte) error {
	hashes, err := DecodeWithdrawal(data)
	if err != nil {
		return err
	}
	m.add(hashes)
	return nil
}
