package control

import (
	"encoding/binary"
	"fmt"
	"sort"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protowire"
)

// Format versions of encoded commands and snapshots.
const (
	commandVersion  = 1
	snapshotVersion = 1
)

// commandHeaderBytes is the size of a command's version, kind and timestamp.
const commandHeaderBytes = 1 + 1 + 8

// StateMachine is the state machine for one kind of command. Its methods must be
// deterministic: the same calls must produce the same state on every voter.
type StateMachine interface {
	// Apply executes the command at the given log index and returns the
	// response. The time now never decreases from one command to the next.
	Apply(index uint64, now time.Time, body []byte) []byte
	// Snapshot encodes the state.
	Snapshot() ([]byte, error)
	// Restore replaces the state with an encoded one.
	Restore(data []byte) error
}

// CompositeStateMachine is the whole replicated state. It dispatches each
// command to the StateMachine for its kind. It is not safe for concurrent use;
// only the goroutine that applies the log may call it.
type CompositeStateMachine struct {
	stateMachines map[Kind]StateMachine
	now           int64
	index         uint64
}

// NewCompositeStateMachine returns a machine that consists of the given ones.
func NewCompositeStateMachine(stateMachines map[Kind]StateMachine) *CompositeStateMachine {
	return &CompositeStateMachine{stateMachines: stateMachines}
}

// EncodeCommand prepends the command header to body. The header carries the
// leader's time, so that every voter expires records at the same log index.
func EncodeCommand(kind Kind, now time.Time, body []byte) []byte {
	buf := make([]byte, commandHeaderBytes, commandHeaderBytes+len(body))
	buf[0] = commandVersion
	buf[1] = byte(kind)
	binary.LittleEndian.PutUint64(buf[2:], uint64(now.UnixMilli()))
	return append(buf, body...)
}

// Apply executes a command encoded by EncodeCommand and returns the response
// of its StateMachine.
func (m *CompositeStateMachine) Apply(index uint64, command []byte) ([]byte, error) {
	m.index = index
	if len(command) < commandHeaderBytes {
		return nil, fmt.Errorf("command at index %d is truncated: it has %d bytes, fewer than a command header", index, len(command))
	}
	if command[0] != commandVersion {
		return nil, fmt.Errorf("command at index %d has unsupported format version %d", index, command[0])
	}
	stateMachine, ok := m.stateMachines[Kind(command[1])]
	if !ok {
		return nil, fmt.Errorf("command at index %d has unknown kind %d", index, command[1])
	}
	timestamp := int64(binary.LittleEndian.Uint64(command[2:]))
	// The clock of a new leader may be behind that of its predecessor, but
	// the time passed to a StateMachine must never decrease.
	m.now = max(m.now, timestamp)
	return stateMachine.Apply(index, time.UnixMilli(m.now), command[commandHeaderBytes:]), nil
}

// Index returns the log index of the last command passed to Apply.
func (m *CompositeStateMachine) Index() uint64 { return m.index }

// Snapshot encodes the state of all state machines.
func (m *CompositeStateMachine) Snapshot() ([]byte, error) {
	kinds := make([]Kind, 0, len(m.stateMachines))
	for k := range m.stateMachines {
		kinds = append(kinds, k)
	}
	sort.Slice(kinds, func(i, j int) bool { return kinds[i] < kinds[j] })
	buf := []byte{snapshotVersion}
	buf = protowire.AppendVarint(buf, m.index)
	buf = protowire.AppendVarint(buf, uint64(m.now))
	for _, k := range kinds {
		data, err := m.stateMachines[k].Snapshot()
		if err != nil {
			return nil, fmt.Errorf("encode the state for commands of kind %d: %w", k, err)
		}
		buf = protowire.AppendVarint(buf, uint64(k))
		buf = protowire.AppendBytes(buf, data)
	}
	return buf, nil
}

var errTruncatedSnapshot = errors.New("state machine snapshot is truncated")

// Restore replaces the state of each StateMachine in the snapshot.
func (m *CompositeStateMachine) Restore(data []byte) error {
	if len(data) < 1 {
		return errTruncatedSnapshot
	}
	if data[0] != snapshotVersion {
		return fmt.Errorf("state machine snapshot has unsupported format version %d", data[0])
	}
	data = data[1:]
	index, n := protowire.ConsumeVarint(data)
	if n < 0 {
		return errTruncatedSnapshot
	}
	data = data[n:]
	now, n := protowire.ConsumeVarint(data)
	if n < 0 {
		return errTruncatedSnapshot
	}
	if err := m.restoreStateMachines(data[n:]); err != nil {
		return err
	}
	m.index = index
	m.now = int64(now)
	return nil
}

func (m *CompositeStateMachine) restoreStateMachines(data []byte) error {
	for len(data) > 0 {
		kind, n := protowire.ConsumeVarint(data)
		if n < 0 {
			return errTruncatedSnapshot
		}
		data = data[n:]
		body, n := protowire.ConsumeBytes(data)
		if n < 0 {
			return errTruncatedSnapshot
		}
		data = data[n:]
		stateMachine, ok := m.stateMachines[Kind(kind)]
		if !ok {
			return fmt.Errorf("state machine snapshot has unknown command kind %d", kind)
		}
		if err := stateMachine.Restore(body); err != nil {
			return fmt.Errorf("restore the state for commands of kind %d: %w", kind, err)
		}
	}
	return nil
}
