package placement

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cuminwing/cuminwing/internal/targetstate"
)

// Fronts tell each other of swallowed requests and of marked slowdowns, so that not each of
// them learns from requests of its own.

// stateHash identifies an incarnation of a target in hints about its state.
func stateHash(t *Target) uint32 {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], uint64(t.Started))
	d := xxhash.New()
	// Writes to a hash never fail.
	_, _ = d.WriteString("state ")
	_, _ = d.WriteString(t.ID)
	_, _ = d.Write(b[:])
	return uint32(d.Sum64())
}

// queueStateHints queues hints about what has been learned of the targets of a service.
func (p *Placer) queueStateHints(s *service) {
	if s == nil {
		return
	}
	for _, e := range s.group.TakeEvents() {
		for _, m := range s.members {
			if m.state == e.Target {
				value := Part{ID: uint64(math.Float32bits(float32(e.Value)))}
				p.enqueueEntry(stateHash(&m.Target), stateWork, uint16(e.Kind), 0, []Part{value}, false)
			}
		}
	}
}

// applyStateHint applies a hint about the state of a target. One that is malformed changes
// nothing.
func (p *Placer) applyStateHint(m *member, now time.Time, entry []byte) {
	values := decodeParts(entry[entryHeaderBytes:])
	kind := binary.LittleEndian.Uint16(entry[6:])
	if len(values) != 1 || kind > math.MaxUint8 {
		return
	}
	m.state.Apply(now, targetstate.Kind(kind), float64(math.Float32frombits(values[0])))
}
