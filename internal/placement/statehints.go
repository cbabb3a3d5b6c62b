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

// withdrawnKind is the kind of an entry about a request that ended without an answer, whose
// work the target has not done. Its value is the work in milliseconds. The other kinds are
// those of targetstate.Event.
const withdrawnKind = 255

// queueWithdrawnHint tells the other fronts that the work of an announced request is not
// done any more.
func (p *Placer) queueWithdrawnHint(c *Choice) {
	if c.announced {
		p.queueStateHint(c.member, withdrawnKind, c.priority, c.workMS)
	}
}

func (p *Placer) queueStateHint(m *member, kind uint16, priority int, value float64) {
	bits := Part{ID: uint64(math.Float32bits(float32(value)))}
	p.enqueueEntry(stateHash(&m.Target), stateWork, kind, priority, []Part{bits}, false)
}

// queueStateHints queues hints about what has been learned of the targets of a service.
func (p *Placer) queueStateHints(s *service) {
	if s == nil {
		return
	}
	for _, e := range s.group.TakeEvents() {
		for _, m := range s.members {
			if m.state == e.Target {
				p.queueStateHint(m, uint16(e.Kind), 0, e.Value)
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
	value := float64(math.Float32frombits(values[0]))
	if kind != withdrawnKind {
		m.state.Apply(now, targetstate.Kind(kind), value)
	} else if value > 0 && value < stateWork {
		m.addBacklog(now, int(entry[priorityOffset]), -value)
		if m.occupancy != nil {
			m.occupancy.Withdraw(now, int(entry[priorityOffset]))
		}
	}
}
