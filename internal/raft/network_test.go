package raft

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// simHost is a replica in a simulated network, with its disk and its clock.
type simHost struct {
	id   string
	node *Node
	// disk and snapshotData survive a crash.
	disk         PersistentState
	snapshotData []byte
	// initialDisk is the content of the disk before the first start.
	initialDisk PersistentState
	// applied and checksum are the state of the state machine: the last applied
	// entry and a checksum of all applied entries.
	applied  uint64
	checksum uint32
	// The clock shows the simulated time times clockRate plus clockOffset.
	clockRate   float64
	clockOffset time.Duration
	// A stalled replica does not run; its messages wait in inbox.
	stalled bool
	inbox   []Message
	// reads maps the ID of each read to the commit index when it was requested.
	reads    map[uint64]uint64
	lastTick time.Duration
}

type inflightMessage struct {
	deliverAt time.Duration
	message   Message
}

type link struct{ from, to string }

// network simulates replicas and the network between them. It checks the
// invariants after every event.
type network struct {
	rand             *rand.Rand
	now              time.Duration
	hosts            []*simHost
	inflightMessages []inflightMessage
	blocked          map[link]bool
	// lossPercent and duplicatePercent are the probabilities that a message is
	// lost or sent twice. maxDelay limits its latency.
	lossPercent, duplicatePercent int
	maxDelay                      time.Duration
	// farDelay is added to the latency of messages from and to the hosts in far.
	farDelay time.Duration
	far      map[string]bool
	// dropOrdered loses all messages that must keep their order.
	dropOrdered      bool
	tickInterval     time.Duration
	maxAppendBytes   int
	maxInflight      uint64
	maxInflightBytes int
	maxProbeBytes    int
	// earlyElections makes about half of all election timeouts the shortest
	// possible.
	earlyElections bool
	// crashesPer10000 is the probability, out of 10,000, of a crash at each of the
	// two crash points of processReady.
	crashesPer10000 int

	leaderByTerm map[uint64]string
	// committed holds every entry that some replica has applied.
	committed []Entry
	// committedTerms holds, for each entry of committed, the term of the replica
	// that first applied it. This is at least the term in which the entry was
	// committed.
	committedTerms []uint64
	// checksums holds the checksum of the state machine at each index.
	checksums     []uint32
	highestCommit uint64
	lastReadID    uint64
	lastCommand   uint64
	// failure describes the first violated invariant, or is empty.
	failure string
}

const (
	simElectionTimeout = time.Second
	simStep            = 5 * time.Millisecond
	// simMaxRounds and simMaxInflightMessages limit the deliveries within one step
	// and the messages in flight. They are exceeded only if replicas respond to
	// each other endlessly.
	simMaxRounds           = 2000
	simMaxInflightMessages = 5000
	simChunkBytes          = 7
	simStartTime           = time.Hour
)

func newNetwork(seed uint64, voters, spares int, rates []float64) *network {
	w := &network{
		rand: rand.New(rand.NewPCG(seed, 1)), now: simStartTime, maxDelay: simStep, tickInterval: simStep, maxAppendBytes: 64, maxInflight: 16,
		maxInflightBytes: 1024, maxProbeBytes: 64,
		blocked: make(map[link]bool), leaderByTerm: make(map[uint64]string), checksums: []uint32{0},
	}
	addresses := make(map[string]string)
	for i := range voters + spares {
		h := &simHost{id: fmt.Sprintf("n%d", i), clockRate: rates[i%len(rates)]}
		if i < voters {
			addresses[h.id] = h.id
		}
		w.hosts = append(w.hosts, h)
	}
	for i, h := range w.hosts {
		if i < voters {
			h.disk.Snapshot.Members = NewVoters(addresses)
		}
		h.disk.Bootstrapping = true
		h.initialDisk = h.disk
	}
	return w
}

func (w *network) fail(format string, args ...any) {
	if w.failure == "" {
		w.failure = fmt.Sprintf("at %v: ", w.now-simStartTime) + fmt.Sprintf(format, args...)
	}
}

func (w *network) host(id string) *simHost {
	i := slices.IndexFunc(w.hosts, func(h *simHost) bool { return h.id == id })
	return w.hosts[i]
}

func (w *network) clock(h *simHost) time.Duration {
	return h.clockOffset + time.Duration(float64(w.now)*h.clockRate)
}

func (w *network) start(h *simHost) {
	h.clockOffset = time.Duration(w.rand.Int64N(int64(time.Hour)))
	h.inbox, h.reads, h.stalled = nil, make(map[uint64]uint64), false
	stored := h.disk
	stored.Entries = slices.Clone(stored.Entries)
	h.applied, h.checksum = stored.Snapshot.Index, 0
	if len(h.snapshotData) > 0 {
		h.checksum = binary.LittleEndian.Uint32(h.snapshotData)
	}
	h.node = New(Config{
		ID: h.id, ElectionTimeout: simElectionTimeout, HeartbeatInterval: 300 * time.Millisecond,
		Clock: func() time.Duration { return w.clock(h) }, Rand: rand.New(w),
		MaxAppendBytes: w.maxAppendBytes, MaxInflight: w.maxInflight, MaxUncommitted: 256,
		MaxInflightBytes: w.maxInflightBytes, MaxProbeBytes: w.maxProbeBytes,
	}, stored)
}

// Uint64 makes network the random source of the replicas.
func (w *network) Uint64() uint64 {
	if w.earlyElections && w.rand.IntN(2) == 0 {
		return 1 << 20
	}
	return w.rand.Uint64()
}

// processReady carries out the pending work of a replica. The replica may crash
// before or after the sync.
func (w *network) processReady(h *simHost) {
	for h.node != nil && !h.stalled && h.node.HasReady() {
		ready := h.node.Ready()
		w.transmit(h, ready.Messages, false)
		if w.maybeCrash(h) {
			return
		}
		h.persist(&ready)
		if w.maybeCrash(h) {
			return
		}
		w.transmit(h, ready.Messages, true)
		w.apply(h, &ready)
		h.node.Advance()
		w.checkInvariants()
	}
}

func (w *network) maybeCrash(h *simHost) bool {
	if w.rand.IntN(10000) < w.crashesPer10000 {
		h.node = nil
		return true
	}
	return false
}

// persist writes a Ready to the disk. A sync makes all of it durable or nothing.
func (h *simHost) persist(r *Ready) {
	if r.Snapshot != nil {
		h.disk.Snapshot, h.snapshotData, h.disk.Entries = r.Snapshot.SnapshotMeta, r.Snapshot.Data, nil
	}
	if r.HardState != nil {
		h.disk.HardState = *r.HardState
	}
	if r.Bootstrapped {
		h.disk.Bootstrapping = false
	}
	if len(r.Entries) > 0 {
		keep := r.Entries[0].Index - h.disk.Snapshot.Index - 1
		h.disk.Entries = append(slices.Clone(h.disk.Entries[:keep]), r.Entries...)
	}
}

func (w *network) transmit(h *simHost, messages []Message, afterSync bool) {
	for _, m := range messages {
		if m.NeedsSync() != afterSync || w.rand.IntN(100) < w.lossPercent || w.dropOrdered && m.Ordered {
			continue
		}
		if m.Kind == MsgSnapshot {
			if m.Snapshot.Index != h.disk.Snapshot.Index {
				continue
			}
			m.Data = h.snapshotData[min(m.Offset, uint64(len(h.snapshotData))):min(m.Offset+simChunkBytes, uint64(len(h.snapshotData)))]
		}
		m.Entries = slices.Clone(m.Entries)
		for range 1 + boolToInt(w.rand.IntN(100) < w.duplicatePercent) {
			at := w.now + time.Duration(w.rand.Int64N(int64(w.maxDelay)))
			if w.far[m.From] || w.far[m.To] {
				at += w.farDelay
			}
			w.inflightMessages = append(w.inflightMessages, inflightMessage{at, m})
		}
	}
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

func (w *network) apply(h *simHost, r *Ready) {
	if s := r.Snapshot; s != nil {
		h.applied, h.checksum = s.Index, binary.LittleEndian.Uint32(s.Data)
		if s.Index >= uint64(len(w.checksums)) || w.checksums[s.Index] != h.checksum {
			w.fail("%s installed a snapshot at index %d that differs from the applied state", h.id, s.Index)
		}
	}
	for _, e := range r.Committed {
		w.applyEntry(h, e)
	}
	for _, s := range r.Reads {
		if before, ok := h.reads[s.ID]; ok && !s.Failed && s.Index < before {
			w.fail("read on %s returned index %d although entry %d was already committed", h.id, s.Index, before)
		}
	}
}

func (w *network) applyEntry(h *simHost, e Entry) {
	if e.Index != h.applied+1 {
		w.fail("%s applied entry %d after entry %d", h.id, e.Index, h.applied)
		return
	}
	h.applied = e.Index
	h.checksum = crc32.Update(h.checksum, crc32.IEEETable, append([]byte{byte(e.Term), byte(e.Kind)}, e.Data...))
	if e.Index <= uint64(len(w.committed)) {
		known := w.committed[e.Index-1]
		if known.Term != e.Term || known.Kind != e.Kind || string(known.Data) != string(e.Data) {
			w.fail("%s applied entry %d of term %d, which differs from the entry of term %d applied by another replica", h.id, e.Index, e.Term, known.Term)
		}
		return
	}
	w.committed = append(w.committed, e)
	w.committedTerms = append(w.committedTerms, h.node.term)
	w.checksums = append(w.checksums, h.checksum)
}

// checkInvariants checks the invariants that must hold at all times.
func (w *network) checkInvariants() {
	var holder *simHost
	for _, h := range w.hosts {
		if h.node == nil {
			continue
		}
		w.highestCommit = max(w.highestCommit, h.node.log.commit)
		if h.node.role == Leader {
			w.checkNewLeader(h)
		}
		if until, ok := h.node.LeaseExpiry(); ok && w.clock(h) < until {
			if holder != nil {
				w.fail("both %s and %s hold a lease", holder.id, h.id)
			}
			holder = h
		}
	}
	for _, h := range w.hosts {
		if holder != nil && h.node != nil && h.node.role == Leader && h.node.term > holder.node.term {
			w.fail("%s is leader of term %d while %s holds the lease of term %d", h.id, h.node.term, holder.id, holder.node.term)
		}
	}
}

// checkNewLeader checks that a term has one leader, and that a new leader's log
// contains all entries committed in earlier terms.
func (w *network) checkNewLeader(h *simHost) {
	n := h.node
	if known, ok := w.leaderByTerm[n.term]; ok {
		if known != h.id {
			w.fail("both %s and %s are leaders of term %d", known, h.id, n.term)
		}
		return
	}
	w.leaderByTerm[n.term] = h.id
	for i, e := range w.committed {
		// A replica that was stalled can still win the election of an earlier
		// term and lack entries committed later.
		if w.committedTerms[i] < n.term && e.Index > n.log.baseIndex && !n.log.matches(e.Index, e.Term) {
			w.fail("%s is leader of term %d but lacks committed entry %d", h.id, n.term, e.Index)
			return
		}
	}
}

// run advances the simulated time by d.
func (w *network) run(d time.Duration) {
	end := w.now + d
	for w.now < end && w.failure == "" {
		w.now += simStep
		for rounds := 0; w.deliver(); rounds++ {
			if rounds == simMaxRounds || len(w.inflightMessages) > simMaxInflightMessages {
				w.fail("replicas exchange messages endlessly")
				return
			}
		}
		for _, h := range w.hosts {
			if h.node == nil || h.stalled || w.now-h.lastTick < w.tickInterval {
				continue
			}
			h.lastTick = w.now
			h.node.Tick()
			w.checkInvariants()
			w.processReady(h)
		}
	}
}

// deliver delivers the messages that are due, in random order. It reports
// whether any were due.
func (w *network) deliver() bool {
	var due []Message
	w.inflightMessages = slices.DeleteFunc(w.inflightMessages, func(f inflightMessage) bool {
		if f.deliverAt <= w.now {
			due = append(due, f.message)
		}
		return f.deliverAt <= w.now
	})
	w.rand.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
	for _, m := range due {
		h := w.host(m.To)
		if h.node == nil || w.blocked[link{m.From, m.To}] {
			continue
		}
		h.inbox = append(h.inbox, m)
		w.processInbox(h)
	}
	return len(due) > 0
}

func (w *network) processInbox(h *simHost) {
	if h.stalled {
		return
	}
	for _, m := range h.inbox {
		if h.node == nil {
			return
		}
		h.node.Step(m)
		w.checkInvariants()
		w.processReady(h)
	}
	h.inbox = nil
}

func (w *network) propose(h *simHost, count int) {
	var commands [][]byte
	for range count {
		w.lastCommand++
		commands = append(commands, binary.AppendUvarint(nil, w.lastCommand))
	}
	_, _, _ = h.node.Propose(commands...)
	w.checkInvariants()
	w.processReady(h)
}

func (w *network) read(h *simHost) {
	w.lastReadID++
	before := w.highestCommit
	h.reads[w.lastReadID] = before
	_ = h.node.ReadIndex(w.lastReadID)
	w.processReady(h)
}

func (w *network) compact(h *simHost, retain uint64) {
	if h.applied <= h.disk.Snapshot.Index {
		return
	}
	term, _ := h.node.TermAt(h.applied)
	// The padding makes the snapshot several chunks long.
	data := binary.LittleEndian.AppendUint32(nil, h.checksum)
	data = append(data, make([]byte, 20)...)
	meta := SnapshotMeta{Index: h.applied, Term: term, Members: h.node.MembersAt(h.applied), Size: uint64(len(data))}
	h.disk.Entries = slices.Clone(h.disk.Entries[h.applied-h.disk.Snapshot.Index:])
	h.disk.Snapshot, h.snapshotData = meta, data
	h.node.Compact(meta, retain, math.MaxInt)
	w.checkInvariants()
}
