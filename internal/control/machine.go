package control

import (
	"encoding/binary"
	"fmt"
	"sort"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protowire"
)

// Format versions of commands and snapshots.
const (
	commandVersion  = 1
	snapshotVersion = 1
)

// commandHeaderBytes is version, kind and time.
const commandHeaderBytes = 1 + 1 + 8

// Part is one part of the replicated state. Its methods must be
// deterministic: the same calls give the same state on every voter.
type Part interface {
	// Apply executes one command at log position index. Now never decreases
	// from one command to the next.
	Apply(index uint64, now time.Time, body []byte) []byte
	// Snapshot encodes the state.
	Snapshot() ([]byte, error)
	// Restore replaces the state by an encoded one.
	Restore(data []byte) error
}

// Machine dispatches commands to parts. It is not safe for concurrent use;
// the goroutine that applies the log owns it.
type Machine struct {
	parts map[Kind]Part
	now   int64
	index uint64
}

// NewMachine returns a machine with the given parts.
func NewMachine(parts map[Kind]Part) *Machine {
	return &Machine{parts: parts}
}

// EncodeCommand frames a command. The leader stamps its time, so that every
// voter expires records at the same log position.
func EncodeCommand(kind Kind, now time.Time, body []byte) []byte {
	buf := make([]byte, commandHeaderBytes, commandHeaderBytes+len(body))
	buf[0] = commandVersion
	buf[1] = byte(kind)
	binary.LittleEndian.PutUint64(buf[2:], uint64(now.UnixMilli()))
	return append(buf, body...)
}

// Apply executes one framed command and returns the answer of its part.
func (m *Machine) Apply(index uint64, command []byte) ([]byte, error) {
	m.index = index
	if len(command) < commandHeaderBytes {
		return nil, fmt.Errorf("command at index %d has %d bytes", index, len(command))
	}
	if command[0] != commandVersion {
		return nil, fmt.Errorf("command at index %d has format version %d", index, command[0])
	}
	part, ok := m.parts[Kind(command[1])]
	if !ok {
		return nil, fmt.Errorf("command at index %d is for unknown part %d", index, command[1])
	}
	stamp := int64(binary.LittleEndian.Uint64(command[2:]))
	// A new leader's clock may be behind; time must not run backwards.
	m.now = max(m.now, stamp)
	return part.Apply(index, time.UnixMilli(m.now), command[commandHeaderBytes:]), nil
}

// Index returns the log position of the last command.
func (m *Machine) Index() uint64 { return m.index }

// Snapshot encodes the state of all parts.
func (m *Machine) Snapshot() ([]byte, error) {
	kinds := make([]Kind, 0, len(m.parts))
	for k := range m.parts {
		kinds = append(kinds, k)
	}
	sort.Slice(kinds, func(i, j int) bool { return kinds[i] < kinds[j] })
	buf := []byte{snapshotVersion}
	buf = protowire.AppendVarint(buf, m.index)
	buf = protowire.AppendVarint(buf, uint64(m.now))
	for _, k := range kinds {
		data, err := m.parts[k].Snapshot()
		if err != nil {
			return nil, fmt.Errorf("snapshot of part %d: %w", k, err)
		}
		buf = protowire.AppendVarint(buf, uint64(k))
		buf = protowire.AppendBytes(buf, data)
	}
	return buf, nil
}

var errShortSnapshot = errors.New("snapshot is truncated")

// Restore replaces the state of all parts.
func (m *Machine) Restore(data []byte) error {
	if len(data) < 1 {
		return errShortSnapshot
	}
	if data[0] != snapshotVersion {
		return fmt.Errorf("snapshot has format version %d", data[0])
	}
	data = data[1:]
	index, n := protowire.ConsumeVarint(data)
	if n < 0 {
		return errShortSnapshot
	}
	data = data[n:]
	now, n := protowire.ConsumeVarint(data)
	if n < 0 {
		return errShortSnapshot
	}
	if err := m.restoreParts(data[n:]); err != nil {
		return err
	}
	m.index = index
	m.now = int64(now)
	return nil
}

func (m *Machine) restoreParts(data []byte) error {
	for len(data) > 0 {
		kind, n := protowire.ConsumeVarint(data)
		if n < 0 {
			return errShortSnapshot
		}
		data = data[n:]
		body, n := protowire.ConsumeBytes(data)
		if n < 0 {
			return errShortSnapshot
		}
		data = data[n:]
		part, ok := m.parts[Kind(kind)]
		if !ok {
			return fmt.Errorf("snapshot has unknown part %d", kind)
		}
		if err := part.Restore(body); err != nil {
			return fmt.Errorf("restore part %d: %w", kind, err)
		}
	}
	return nil
}
