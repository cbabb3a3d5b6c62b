package placement

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Fronts send each other hints about each request that they place: the engine,
// its prefill work and the shared parts. So each front tracks the backlog and
// the cache of all engines without polling them. A wrong hint costs a few
// milliseconds.

const (
	// entryHeaderBytes is the size of the fixed part of an entry: the 32-bit
	// hash of the engine and its weights, the prefill work in milliseconds (16
	// bits), the inserted tokens in units of blockTokens (16 bits), the
	// priority (8 bits) and the number of parts (8 bits). The 32-bit hashes of the
	// parts follow.
	entryHeaderBytes = 10
	priorityOffset   = 8
	blockTokens      = 16
	// maxHintPriority is the mask of the priority of a placed request in its byte. The other
	// bits have the code of the pace of the engine (see prefillrate.Encode).
	maxHintPriority = 0x0f
	paceShift       = 4
	// savedFlag is set in the number of parts if the engine saves the parts to
	// the store of its region.
	savedFlag = 0x80
	// unreachableWork replaces the prefill work if the engine could not be
	// reached.
	unreachableWork = math.MaxUint16
	// noticeWork replaces the prefill work in an entry about the requests that a
	// target accepts. The kind of the notice replaces the inserted tokens, and the
	// limit as a 32-bit floating-point number the parts.
	noticeWork   = math.MaxUint16 - 1
	hintDraining = 1
	hintLimit    = 2
	hintNoLimit  = 3
	// stateWork replaces the prefill work in an entry about the state of a target. The
	// kind of the event replaces the inserted tokens, and its value the parts.
	stateWork     = math.MaxUint16 - 2
	partHashBytes = 4
	// maxPacketBytes keeps a packet within one unfragmented datagram on any
	// path.
	maxPacketBytes = 1200
	// maxQueuedPackets limits the packets that wait to be sent; further hints
	// are dropped.
	maxQueuedPackets = 16
)

// engineHash identifies an engine together with its weights, so that hints
// about earlier weights match no engine.
func engineHash(id string, weights uint64) uint32 {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], weights)
	d := xxhash.New()
	// Writes to a hash never fail.
	_, _ = d.WriteString(id)
	_, _ = d.Write(b[:])
	return uint32(d.Sum64())
}

// queueChoiceHint queues a hint about a placed request for the other fronts.
func (p *Placer) queueChoiceHint(c *Choice, shared []Part) {
	work := uint16(min(max(c.workMS, 0), stateWork-1))
	blocks := uint16(min(max(c.insertedTokens/blockTokens, 0), math.MaxUint16))
	priority := min(max(c.priority, 0), maxHintPriority) | int(c.member.paceCode())<<paceShift
	p.enqueueEntry(engineHash(c.Target.ID, c.member.Weights), work, blocks, priority, shared, c.SaveTo != "")
}

// queueUnreachableHint tells the other fronts that an engine could not be
// reached. Each front finds out by itself when the engine is reachable again.
func (p *Placer) queueUnreachableHint(m *member) {
	p.enqueueEntry(engineHash(m.ID, m.Weights), unreachableWork, 0, 0, nil, false)
}

// queueNoticeHint passes a notice of a target on to the other fronts.
func (p *Placer) queueNoticeHint(m *member, kind uint16, limit float64) {
	value := Part{ID: uint64(math.Float32bits(float32(limit)))}
	p.enqueueEntry(noticeHash(m.ID), noticeWork, kind, 0, []Part{value}, false)
}

// noticeHash identifies a target in notices, whatever weights it runs.
func noticeHash(id string) uint32 { return engineHash(id, math.MaxUint64) }

func (p *Placer) enqueueEntry(hash uint32, work, blocks uint16, priority int, shared []Part, saved bool) {
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
	b := binary.LittleEndian.AppendUint32(p.outbox[last], hash)
	b = binary.LittleEndian.AppendUint16(b, work)
	b = binary.LittleEndian.AppendUint16(b, blocks)
	b = append(b, byte(min(max(priority, 0), math.MaxUint8)))
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

// HintsReady returns a channel that signals that TakeHints has packets to
// return.
func (p *Placer) HintsReady() <-chan struct{} { return p.hintsReady }

// TakeHints returns the queued packets for the other fronts and empties the
// queue.
func (p *Placer) TakeHints() [][]byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	packets := p.outbox
	p.outbox = nil
	return packets
}

// ApplyHints applies a packet from another front. A truncated entry and all that
// follows it are ignored.
func (p *Placer) ApplyHints(packet []byte) {
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
	if work == noticeWork {
		p.applyNotice(m, now, entry)
		return
	}
	if work == stateWork {
		p.applyStateHint(m, now, entry)
		return
	}
	m.admission.recordOther(now)
	m.state.RecordPeerRequest(now)
	priority := int(entry[priorityOffset]) & maxHintPriority
	m.recordPeerPace(now, entry[priorityOffset]>>paceShift)
	m.addBacklog(now, priority, float64(work))
	p.unseen.sent.add(now, float64(work)/prefillShare)
	prefilled := blockTokens * float64(binary.LittleEndian.Uint16(entry[6:]))
	parts := p.uses.sized(decodeParts(entry[entryHeaderBytes:]))
	ready := now.Add(time.Duration((m.state.Backlog(now, priority) + m.state.Wait(now)) * float64(time.Millisecond)))
	saves := entry[entryHeaderBytes-1]&savedFlag != 0
	end := m.occupyForPeer(now, priority, float64(work), prefilled, parts)
	if added := m.recordPrompt(now, ready, parts, nil, prefilled); added || saves {
		p.recordStoreUse(now, ready, m, parts, prefilled, saves)
	}
	m.pin(now, end, parts)
	p.uses.record(now, parts)
}

// applyNotice applies a notice that another front has passed on. One that is malformed
// changes nothing.
func (p *Placer) applyNotice(m *member, now time.Time, entry []byte) {
	values := decodeParts(entry[entryHeaderBytes:])
	if len(values) != 1 {
		return
	}
	limit := float64(math.Float32frombits(values[0]))
	var notice Notice
	changed := false
	switch kind := binary.LittleEndian.Uint16(entry[6:]); {
	case kind == hintDraining:
		notice = Notice{Draining: true}
		changed = m.admission.setDraining(now, true)
	case kind == hintNoLimit:
		changed = m.admission.endLimit(now)
	case kind == hintLimit && limit >= 0 && limit <= MaxLimit:
		notice = Notice{Limit: limit, HasLimit: true}
		changed = m.admission.setLimit(now, limit, p.fleet())
		m.admission.announced, m.admission.limitFromPeer = now, true
	}
	if changed {
		p.reportChange(m, notice, true)
	}
}

func decodeParts(b []byte) []uint32 {
	parts := make([]uint32, 0, len(b)/partHashBytes)
	for ; len(b) >= partHashBytes; b = b[partHashBytes:] {
		parts = append(parts, binary.LittleEndian.Uint32(b))
	}
	return parts
}

// rebuildEngineIndex rebuilds the map from engine hashes to members.
func (p *Placer) rebuildEngineIndex() {
	p.enginesByHash = make(map[uint32]*member)
	for _, s := range p.services {
		for _, m := range s.members {
			p.enginesByHash[engineHash(m.ID, m.Weights)] = m
			p.enginesByHash[noticeHash(m.ID)] = m
			p.enginesByHash[stateHash(&m.Target)] = m
		}
	}
}
