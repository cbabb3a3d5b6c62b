package gateway

import (
	"encoding/binary"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Stored is one accepted document in the form that the operator sent.
type Stored struct {
	Version uint64
	Raw     []byte
}

// Part is the replicated configuration document. The highest version wins. A
// command with a lower or equal version is ignored, so resending a command is
// safe.
type Part struct {
	// OnChange is called after each change, without the lock held. It may be
	// nil.
	OnChange func()

	mu     sync.Mutex
	stored Stored
}

const versionBytes = 8

// EncodePut returns the command that proposes a document.
func EncodePut(version uint64, raw []byte) []byte {
	buf := binary.LittleEndian.AppendUint64(make([]byte, 0, versionBytes+len(raw)), version)
	return append(buf, raw...)
}

// Current returns the current document. Its Version is 0 if there is none yet.
func (p *Part) Current() Stored {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stored
}

// Apply implements control.Part.
func (p *Part) Apply(_ uint64, _ time.Time, body []byte) []byte {
	if len(body) < versionBytes {
		return nil
	}
	version := binary.LittleEndian.Uint64(body)
	p.mu.Lock()
	changed := version > p.stored.Version
	if changed {
		p.stored = Stored{Version: version, Raw: append([]byte(nil), body[versionBytes:]...)}
	}
	p.mu.Unlock()
	p.notify(changed)
	return nil
}

func (p *Part) notify(changed bool) {
	if changed && p.OnChange != nil {
		p.OnChange()
	}
}

// Snapshot implements control.Part.
func (p *Part) Snapshot() ([]byte, error) {
	s := p.Current()
	return EncodePut(s.Version, s.Raw), nil
}

// Restore implements control.Part.
func (p *Part) Restore(data []byte) error {
	if len(data) < versionBytes {
		return errors.New("gateway: snapshot of the configuration document is truncated")
	}
	p.mu.Lock()
	p.stored = Stored{
		Version: binary.LittleEndian.Uint64(data),
		Raw:     append([]byte(nil), data[versionBytes:]...),
	}
	p.mu.Unlock()
	p.notify(true)
	return nil
}
