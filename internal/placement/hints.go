package placement

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Fronts tell each other what they send to which engine: the prompt work and
// the shared parts. Each front then follows the backlog and the cache of all
// engines without asking them. Entries are hints: a wrong one costs a few
// milliseconds.

const (
	// entryHeaderBytes is the engine with its weights as a 32-bit hash, the work in
	// milliseconds and the tokens brought into memory in blockTokens, both in
	// 16 bits, and the number of parts, which follow as 32-bit hashes.
	entryHeaderBytes = 9
	blockTokens      = 16
	// savedFlag in the number of parts says that the engine saves them to the
	// store of its region.
	savedFlag = 0x80
	// unreachableWork in place of the work says that the engine could not be reached.
	unreachableWork = math.MaxUint16
	partHashBytes   = 4
	// maxPacketBytes fits into one datagram on any path.
	maxPacketBytes = 1200
	// maxQueuedPackets bounds what waits to be sent.
	maxQueuedPackets = 16
)

// engineHash names an engine together with its weights, so that entries end
// with a change of weights.
func engineHash(id string, weights uint64) uint32 {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], weights)
	d := xxhash.New()
	// A hash never fails to take bytes.
	_, _ = d.WriteString(id)
	_, _ = d.Write(b[:])
	return uint32(d.Sum64())
}

// announceChoice queues an entry for the other fronts.
func (p *Placer) announceChoice(c *Choice, shared []Part) {
	work := uint16(min(max(c.workMS, 0), unreachableWork-1))
	blocks := uint16(min(max(c.insertedTokens/blockTokens, 0), math.MaxUint16))
	p.enqueueHint(c.member, work, blocks, shared, c.SaveTo != "")
}

// announceUnreachable tells the other fronts that an engine could not be reached. Each
// of them finds out by itself when it can be.
func (p *Placer) announceUnreachable(m *member) { p.enqueueHint(m, unreachableWork, 0, nil, false) }

func (p *Placer) enqueueHint(m *member, work, blocks uint16, shared []Part, saved bool) {
	n := entryHeaderBytes + partHashBytes*len(shared)
	if len(shared) >= savedFlag || n > maxPacketBytes {
		return
	}
	last := len(p.outbox) - 1
	if last < 0 || len(p.outbox[last])+n > maxPacketBytes {
		if len(p.outbox) == maxQueuedPackets {
			return
		}
		p.outbox = append(p.outbox, make([]byte, 0, maxPacketBytes))
		last++
	}
	b := binary.LittleEndian.AppendUint32(p.outbox[last], engineHash(m.ID, m.Weights))
	b = binary.LittleEndian.AppendUint16(b, work)
	b = binary.LittleEndian.AppendUint16(b, blocks)
	count := byte(len(shared))
	if saved {
		count |= savedFlag
	}
	b = append(b, count)
	for _, part := range shared {
		b = binary.LittleEndian.AppendUint32(b, uint32(part.ID))
	}
	p.outbox[last] = b
	select {
	case p.hintsReady <- struct{}{}:
	default:
	}
}

// Announcements signals that TakeSent has something to return.
func (p *Placer) Announcements() <-chan struct{} { return p.hintsReady }

// TakeSent returns packets for the other fronts.
func (p *Placer) TakeSent() [][]byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	packets := p.outbox
	p.outbox = nil
	return packets
}

// Hint takes a packet of another front. The rest of a malformed one is ignored.
func (p *Placer) Hint(packet []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock()
	for len(packet) >= entryHeaderBytes {
		size := entryHeaderBytes + partHashBytes*int(packet[entryHeaderBytes-1]&^savedFlag)
		if len(packet) < size {
			return
		}
		if m := p.enginesByHash[binary.LittleEndian.Uint32(packet)]; m != nil {
			p.applyHint(m, now, packet[:size])
		}
		packet = packet[size:]
	}
}

func (p *Placer) applyHint(m *member, now time.Time, entry []byte) {
	work := binary.LittleEndian.Uint16(entry[4:])
	if work == unreachableWork {
		m.down = true
		return
	}
	m.addBacklog(now, float64(work))
	read := blockTokens * float64(binary.LittleEndian.Uint16(entry[6:]))
	parts := decodeParts(entry[entryHeaderBytes:])
	m.insertedTokens += read
	m.recordParts(parts)
	if entry[entryHeaderBytes-1]&savedFlag != 0 {
		p.recordSave(now, m, parts, read)
	}
}

func decodeParts(b []byte) []uint32 {
	parts := make([]uint32, 0, len(b)/partHashBytes)
	for ; len(b) >= partHashBytes; b = b[partHashBytes:] {
		parts = append(parts, binary.LittleEndian.Uint32(b))
	}
	return parts
}

// partHashes returns what entries call parts.
func partHashes(parts []Part) []uint32 {
	list := make([]uint32, len(parts))
	for i, part := range parts {
		list[i] = uint32(part.ID)
	}
	return list
}

func (m *member) recordParts(parts []uint32) {
	for _, part := range parts {
		m.parts[part] = m.insertedTokens
	}
	if len(m.parts) > maxMemberParts {
		m.evictParts()
	}
}

// rebuildEngineIndex finds engines by what entries call them.
func (p *Placer) rebuildEngineIndex() {
	p.enginesByHash = make(map[uint32]*member)
	for _, s := range p.services {
		for _, m := range s.members {
			p.enginesByHash[engineHash(m.ID, m.Weights)] = m
		}
	}
}
