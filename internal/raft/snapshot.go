package raft

// incomingSnapshot assembles the chunks of a snapshot sent by the leader.
type incomingSnapshot struct {
	meta SnapshotMeta
	from string
	data []byte
}

// MembersAt returns the membership in effect at an applied index. A snapshot
// taken at that index must include it.
func (n *Node) MembersAt(index uint64) Membership { return n.log.membershipAt(index) }

// TermAt returns the term of the entry at index, or false if that entry is
// compacted or does not exist.
func (n *Node) TermAt(index uint64) (uint64, bool) { return n.log.term(index) }

// Compact records a snapshot that is on disk. It discards the entries that the
// snapshot covers, except for the last retain ones, which slow followers may
// still need, and of these the oldest while they exceed maxBytes.
func (n *Node) Compact(s SnapshotMeta, retain uint64, maxBytes int) {
	if s.Index <= n.snapshot.Index {
		return
	}
	n.snapshot = s
	first := max(n.log.baseIndex, s.Index-min(s.Index, retain))
	n.log.compact(n.log.lastExceeding(first, s.Index, maxBytes))
}

// SendingSnapshot reports whether a snapshot is being sent to an active replica.
// The snapshot must stay readable until all of it has been sent.
func (n *Node) SendingSnapshot() bool {
	for _, p := range n.peers {
		if p.snapshotIndex != 0 && n.active(p) {
			return true
		}
	}
	return false
}

// sendSnapshot sends the current snapshot chunk to an active replica. An inactive
// one gets only heartbeats, to save bandwidth between regions. A chunk without a
// response is repeated after the election timeout.
func (n *Node) sendSnapshot(id string, p *peer) {
	if !n.active(p) {
		return
	}
	now := n.config.Clock()
	switch {
	case p.snapshotIndex != n.snapshot.Index:
		p.snapshotIndex, p.snapshotOffset = n.snapshot.Index, 0
	case now-p.lastChunkSent < n.config.ElectionTimeout:
		return
	}
	n.sendChunk(id, p)
}

func (n *Node) sendChunk(id string, p *peer) {
	p.lastChunkSent = n.config.Clock()
	n.send(Message{
		Kind: MsgSnapshot, To: id, Snapshot: n.snapshot, Offset: p.snapshotOffset,
		SentAt: p.lastChunkSent, ReadRound: n.readRound, Ordered: true,
	})
}

// handleSnapshot stores one chunk and requests the next, or installs the complete
// snapshot.
func (n *Node) handleSnapshot(m *Message) {
	if m.Snapshot.Index <= n.log.commit {
		n.send(Message{Kind: MsgAppendResponse, To: m.From, Index: n.log.commit, SentAt: m.SentAt, ReadRound: m.ReadRound})
		return
	}
	if n.log.matches(m.Snapshot.Index, m.Snapshot.Term) {
		// This replica may already have acknowledged entries after the snapshot,
		// for example from an append that overtook this message. They must be
		// kept.
		n.log.commit = m.Snapshot.Index
		n.send(Message{Kind: MsgAppendResponse, To: m.From, Index: n.log.commit, SentAt: m.SentAt, ReadRound: m.ReadRound})
		return
	}
	incoming := n.incoming
	if incoming == nil || incoming.from != m.From || incoming.meta.Index != m.Snapshot.Index || incoming.meta.Term != m.Snapshot.Term {
		incoming = &incomingSnapshot{meta: m.Snapshot, from: m.From}
		n.incoming = incoming
	}
	if m.Offset == uint64(len(incoming.data)) {
		incoming.data = append(incoming.data, m.Data...)
	}
	if uint64(len(incoming.data)) < incoming.meta.Size {
		n.send(Message{
			Kind: MsgSnapshotResponse, To: m.From, Index: incoming.meta.Index,
			Offset: uint64(len(incoming.data)), SentAt: m.SentAt, ReadRound: m.ReadRound,
		})
		return
	}
	n.install(incoming)
	n.send(Message{Kind: MsgAppendResponse, To: m.From, Index: incoming.meta.Index, SentAt: m.SentAt, ReadRound: m.ReadRound})
}

// install replaces the log with a complete snapshot.
func (n *Node) install(incoming *incomingSnapshot) {
	n.incoming = nil
	n.installed = &Snapshot{SnapshotMeta: incoming.meta, Data: incoming.data}
	n.snapshot = incoming.meta
	n.log.reset(incoming.meta)
}

func (n *Node) handleSnapshotResponse(m *Message) {
	p := n.peers[m.From]
	if n.role != Leader || p == nil {
		return
	}
	n.recordResponse(p, m)
	// Only a response to the latest chunk triggers the next one: a duplicate
	// response must not start a second stream of chunks.
	if p.snapshotIndex == m.Index && p.lastChunkSent == m.SentAt && p.snapshotOffset != m.Offset {
		p.snapshotOffset = m.Offset
		n.sendChunk(m.From, p)
	}
	n.confirmReads()
}
