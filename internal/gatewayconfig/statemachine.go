package gatewayconfig

import (
	"encoding/binary"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// StoredDocument is one accepted document.
type StoredDocument struct {
	Version uint64
	// Content is the document in the form in which it was proposed.
	Content []byte
}

// StateMachine is the replicated configuration document. The highest version
// wins. A command with a lower or equal version is ignored, so resending a
// command is safe.
type StateMachine struct {
	// OnChange is called after each change, without the lock held. It may be
	// nil.
	OnChange func()

	mu     sync.Mutex
	stored StoredDocument
}

const versionBytes = 8

// EncodeProposal returns the command that proposes a document.
func EncodeProposal(version uint64, content []byte) []byte {
	buf := binary.LittleEndian.AppendUint64(make([]byte, 0, versionBytes+len(content)), version)
	return append(buf, content...)
}

// Current returns the current document. Its Version is 0 if there is none yet.
func (m *StateMachine) Current() StoredDocument {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.stored
}

// Apply implements control.StateMachine.
func (m *StateMachine) Apply(_ uint64, _ time.Time, body []byte) []byte {
	if len(body) < versionBytes {
		return nil
	}
	version := binary.LittleEndian.Uint64(body)
	m.mu.Lock()
	changed := version > m.stored.Version
	if changed {
		m.stored = StoredDocument{Version: version, Content: append([]byte(nil), body[versionBytes:]...)}
	}
	m.mu.Unlock()
	m.notify(changed)
	return nil
}

func (m *StateMachine) notify(changed bool) {
	if changed && m.OnChange != nil {
		m.OnChange()
	}
}

// Snapshot implements control.StateMachine.
func (m *StateMachine) Snapshot() ([]byte, error) {
	s := m.Current()
	return EncodeProposal(s.Version, s.Content), nil
}

// Restore implements control.StateMachine.
func (m *StateMachine) Restore(data []byte) error {
	if len(data) < versionBytes {
		return errors.New("gatewayconfig: snapshot of the configuration document is truncated")
	}
	m.mu.Lock()
	m.stored = StoredDocument{
		Version: binary.LittleEndian.Uint64(data),
		Content: append([]byte(nil), data[versionBytes:]...),
	}
	m.mu.Unlock()
	m.notify(true)
	return nil
}
