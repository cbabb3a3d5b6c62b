package raft

// assembly collects the chunks of one snapshot.
type assembly struct {
	meta SnapshotMeta
	from string
	data []byte
}

// MembersAt returns the membership in force at an applied index; a snapshot
// taken there must hold it.
func (n *Node) MembersAt(index uint64) Membership { return n.log.membersAt(index) }

// TermAt returns the term of an entry that is still held.
func (n *Node) TermAt(index uint64) (uint64, bool) { return n.log.term(index) }

// Compact records a snapshot that is on disk, and drops the entries before it
// except the last retain ones, which slow followers may still need.
func (n *Node) Compact(s SnapshotMeta, retain uint64) {
	if s.Index <= n.snapshot.Index {
		return
	}
	n.snapshot = s
	if s.Index > retain {
		n.log.compact(s.Index - retain)
	}
}

// SendingSnapshot reports whether an answering replica is receiving the
// current snapshot, which must stay readable until then.
func (n *Node) SendingSnapshot() bool {
	for _, p := range n.peers {
		if p.sending != 0 && n.active(p) {
			return true
		}
	}
	return false
}

// sendSnapshot sends the current chunk to a replica that answers, and a plain
// heartbeat to one that does not, to spare the link between regions.
func (n *Node) sendSnapshot(id string, p *peer, beat bool) {
	if !n.active(p) {
		if beat {
			n.sendAppend(id, n.log.last(), nil)
		}
		return
	}
	now := n.config.Clock()
	switch {
	case p.sending != n.snapshot.Index:
		p.sending, p.offset = n.snapshot.Index, 0
	case now-p.chunkSent < n.config.HeartbeatInterval:
		return
	}
	n.sendChunk(id, p)
}

func (n *Node) sendChunk(id string, p *peer) {
	p.chunkSent = n.config.Clock()
	n.send(Message{
		Kind: MsgSnapshot, To: id, Snapshot: n.snapshot, Offset: p.offset,
		Sent: n.config.Clock(), Round: n.round,
	})
}

// handleSnapshot stores one chunk and asks for the next.
func (n *Node) handleSnapshot(m *Message) {
	if m.Snapshot.Index <= n.log.commit {
		n.send(Message{Kind: MsgAppendResponse, To: m.From, Index: n.log.commit, Sent: m.Sent, Round: m.Round})
		return
	}
	if n.log.matches(m.Snapshot.Index, m.Snapshot.Term) {
		// Entries after the snapshot may have been acknowledged already, for
		// example by an append that overtook it, and must stay.
		n.log.commit = m.Snapshot.Index
		n.send(Message{Kind: MsgAppendResponse, To: m.From, Index: n.log.commit, Sent: m.Sent, Round: m.Round})
		return
	}
	a := n.incoming
	if a == nil || a.from != m.From || a.meta.Index != m.Snapshot.Index || a.meta.Term != m.Snapshot.Term {
		a = &assembly{meta: m.Snapshot, from: m.From}
		n.incoming = a
	}
	if m.Offset == uint64(len(a.data)) {
		a.data = append(a.data, m.Data...)
	}
	if uint64(len(a.data)) < a.meta.Size {
		n.send(Message{
			Kind: MsgSnapshotResponse, To: m.From, Index: a.meta.Index,
			Offset: uint64(len(a.data)), Sent: m.Sent, Round: m.Round,
		})
		return
	}
	n.install(a)
	n.send(Message{Kind: MsgAppendResponse, To: m.From, Index: a.meta.Index, Sent: m.Sent, Round: m.Round})
}

// install replaces the log by a complete snapshot.
func (n *Node) install(a *assembly) {
	n.incoming = nil
	n.installed = &Snapshot{SnapshotMeta: a.meta, Data: a.data}
	n.snapshot = a.meta
	n.log.reset(a.meta)
}

func (n *Node) handleSnapshotResponse(m *Message) {
	p := n.peers[m.From]
	if n.role != Leader || p == nil {
		return
	}
	n.noteAnswer(p, m)
	// Only an answer to the latest chunk counts: a repeated one must not start
	// a second stream of chunks.
	if p.sending == m.Index && p.chunkSent == m.Sent && p.offset != m.Offset {
		p.offset = m.Offset
		n.sendChunk(m.From, p)
	}
	n.confirmReads()
}
