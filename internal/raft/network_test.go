package raft

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"math/rand/v2"
	"slices"
	"time"
)

// host is a replica with its disk and its clock in a simulated network.
type host struct {
	id   string
	node *Node
	// disk is what survives a crash.
	disk Stored
	data []byte
	// first is the disk before the first start.
	first Stored
	// applied and sum describe the state machine: sum is a checksum over all
	// applied entries.
	applied uint64
	sum     uint32
	// rate and origin define the clock.
	rate    float64
	origin  time.Duration
	stalled bool
	inbox   []Message
	reads   map[uint64]uint64
	ticked  time.Duration
}

type flight struct {
	at time.Duration
	m  Message
}

type link struct{ from, to string }

// network simulates replicas, and checks the invariants after every event.
type network struct {
	rand    *rand.Rand
	now     time.Duration
	hosts   []*host
	flights []flight
	blocked map[link]bool
	// loss and copies are the chances in percent that a message is lost or
	// sent twice; delay bounds the latency.
	loss, copies int
	delay        time.Duration
	tick         time.Duration
	appendBytes  int
	inflight     uint64
	// eager makes many elections start as early as they may.
	eager bool
	// crashing is the chance per 10,000 that a replica with work crashes in
	// the middle of it.
	crashing int

	leaders   map[uint64]string
	committed []Entry
	// terms holds, for each committed entry, the term of the replica that
	// first applied it, which is at least the term that committed it.
	terms     []uint64
	sums      []uint32
	highest   uint64
	nextRead  uint64
	nextValue uint64
	problem   string
}

const (
	simElection = time.Second
	simStep     = 5 * time.Millisecond
	// Replicas that keep answering each other exceed these.
	simMaxRounds  = 2000
	simMaxFlights = 5000
	simChunk      = 7
	simStartTime  = time.Hour
)

func newNetwork(seed uint64, voters, spares int, rates []float64) *network {
	w := &network{
		rand: rand.New(rand.NewPCG(seed, 1)), now: simStartTime, delay: simStep, tick: simStep, appendBytes: 64, inflight: 16,
		blocked: make(map[link]bool), leaders: make(map[uint64]string), sums: []uint32{0},
	}
	addresses := make(map[string]string)
	for i := range voters + spares {
		h := &host{id: fmt.Sprintf("n%d", i), rate: rates[i%len(rates)]}
		if i < voters {
			addresses[h.id] = h.id
		}
		w.hosts = append(w.hosts, h)
	}
	for i, h := range w.hosts {
		if i < voters {
			h.disk.Snapshot.Members = NewVoters(addresses)
		}
		h.disk.New = true
		h.first = h.disk
	}
	return w
}

func (w *network) fail(format string, args ...any) {
	if w.problem == "" {
		w.problem = fmt.Sprintf("at %v: ", w.now-simStartTime) + fmt.Sprintf(format, args...)
	}
}

func (w *network) host(id string) *host {
	i := slices.IndexFunc(w.hosts, func(h *host) bool { return h.id == id })
	return w.hosts[i]
}

func (w *network) clock(h *host) time.Duration {
	return h.origin + time.Duration(float64(w.now)*h.rate)
}

func (w *network) start(h *host) {
	h.origin = time.Duration(w.rand.Int64N(int64(time.Hour)))
	h.inbox, h.reads, h.stalled = nil, make(map[uint64]uint64), false
	stored := h.disk
	stored.Entries = slices.Clone(stored.Entries)
	h.applied, h.sum = stored.Snapshot.Index, 0
	if len(h.data) > 0 {
		h.sum = binary.LittleEndian.Uint32(h.data)
	}
	h.node = New(Config{
		ID: h.id, ElectionTimeout: simElection, HeartbeatInterval: 300 * time.Millisecond,
		Clock: func() time.Duration { return w.clock(h) }, Rand: rand.New(w),
		MaxAppendBytes: w.appendBytes, MaxInflight: w.inflight, MaxUncommitted: 256,
	}, stored)
}

// Uint64 is the random source of the replicas.
func (w *network) Uint64() uint64 {
	if w.eager && w.rand.IntN(2) == 0 {
		return 1 << 20
	}
	return w.rand.Uint64()
}

// process carries out the work of a replica, which may crash in between.
func (w *network) process(h *host) {
	for h.node != nil && !h.stalled && h.node.HasReady() {
		ready := h.node.Ready()
		w.transmit(h, ready.Messages, false)
		if w.crashes(h) {
			return
		}
		h.save(&ready)
		if w.crashes(h) {
			return
		}
		w.transmit(h, ready.Messages, true)
		w.apply(h, &ready)
		h.node.Advance()
		w.check()
	}
}

func (w *network) crashes(h *host) bool {
	if w.rand.IntN(10000) < w.crashing {
		h.node = nil
		return true
	}
	return false
}

// save is what a sync makes durable: all of a Ready or nothing.
func (h *host) save(r *Ready) {
	if r.Snapshot != nil {
		h.disk.Snapshot, h.data, h.disk.Entries = r.Snapshot.SnapshotMeta, r.Snapshot.Data, nil
	}
	if r.HardState != nil {
		h.disk.HardState = *r.HardState
	}
	if r.Formed {
		h.disk.New = false
	}
	if len(r.Entries) > 0 {
		keep := r.Entries[0].Index - h.disk.Snapshot.Index - 1
		h.disk.Entries = append(slices.Clone(h.disk.Entries[:keep]), r.Entries...)
	}
}

func (w *network) transmit(h *host, messages []Message, promise bool) {
	for _, m := range messages {
		if m.Promise() != promise || w.rand.IntN(100) < w.loss {
			continue
		}
		if m.Kind == MsgSnapshot {
			if m.Snapshot.Index != h.disk.Snapshot.Index {
				continue
			}
			m.Data = h.data[min(m.Offset, uint64(len(h.data))):min(m.Offset+simChunk, uint64(len(h.data)))]
		}
		m.Entries = slices.Clone(m.Entries)
		for range 1 + btoi(w.rand.IntN(100) < w.copies) {
			at := w.now + time.Duration(w.rand.Int64N(int64(w.delay)))
			w.flights = append(w.flights, flight{at, m})
		}
	}
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

func (w *network) apply(h *host, r *Ready) {
	if s := r.Snapshot; s != nil {
		h.applied, h.sum = s.Index, binary.LittleEndian.Uint32(s.Data)
		if s.Index >= uint64(len(w.sums)) || w.sums[s.Index] != h.sum {
			w.fail("%s installed a snapshot at %d that differs from the applied state", h.id, s.Index)
		}
	}
	for _, e := range r.Committed {
		w.applyEntry(h, e)
	}
	for _, s := range r.Reads {
		if before, ok := h.reads[s.ID]; ok && !s.Failed && s.Index < before {
			w.fail("read on %s returned %d after %d was committed", h.id, s.Index, before)
		}
	}
}

func (w *network) applyEntry(h *host, e Entry) {
	if e.Index != h.applied+1 {
		w.fail("%s applied %d after %d", h.id, e.Index, h.applied)
		return
	}
	h.applied = e.Index
	h.sum = crc32.Update(h.sum, crc32.IEEETable, append([]byte{byte(e.Term), byte(e.Kind)}, e.Data...))
	if e.Index <= uint64(len(w.committed)) {
		known := w.committed[e.Index-1]
		if known.Term != e.Term || known.Kind != e.Kind || string(known.Data) != string(e.Data) {
			w.fail("%s applied entry %d of term %d, others that of term %d", h.id, e.Index, e.Term, known.Term)
		}
		return
	}
	w.committed = append(w.committed, e)
	w.terms = append(w.terms, h.node.term)
	w.sums = append(w.sums, h.sum)
}

// check verifies the invariants that hold at every moment.
func (w *network) check() {
	var holder *host
	for _, h := range w.hosts {
		if h.node == nil {
			continue
		}
		w.highest = max(w.highest, h.node.log.commit)
		if h.node.role == Leader {
			w.checkLeader(h)
		}
		if until, ok := h.node.LeaseUntil(); ok && w.clock(h) < until {
			if holder != nil {
				w.fail("%s and %s hold a lease", holder.id, h.id)
			}
			holder = h
		}
	}
	for _, h := range w.hosts {
		if holder != nil && h.node != nil && h.node.role == Leader && h.node.term > holder.node.term {
			w.fail("%s leads term %d while %s holds the lease of term %d", h.id, h.node.term, holder.id, holder.node.term)
		}
	}
}

func (w *network) checkLeader(h *host) {
	n := h.node
	if known, ok := w.leaders[n.term]; ok {
		if known != h.id {
			w.fail("%s and %s lead term %d", known, h.id, n.term)
		}
		return
	}
	w.leaders[n.term] = h.id
	for i, e := range w.committed {
		// A replica that was stalled may still win an earlier term.
		if w.terms[i] < n.term && e.Index > n.log.baseIndex && !n.log.matches(e.Index, e.Term) {
			w.fail("%s leads term %d without committed entry %d", h.id, n.term, e.Index)
			return
		}
	}
}

// run lets time pass.
func (w *network) run(d time.Duration) {
	end := w.now + d
	for w.now < end && w.problem == "" {
		w.now += simStep
		for rounds := 0; w.deliver(); rounds++ {
			if rounds == simMaxRounds || len(w.flights) > simMaxFlights {
				w.fail("messages are exchanged without end")
				return
			}
		}
		for _, h := range w.hosts {
			if h.node == nil || h.stalled || w.now-h.ticked < w.tick {
				continue
			}
			h.ticked = w.now
			h.node.Tick()
			w.check()
			w.process(h)
		}
	}
}

// deliver hands over the messages that are due, in random order. It reports
// whether there were any.
func (w *network) deliver() bool {
	var due []Message
	w.flights = slices.DeleteFunc(w.flights, func(f flight) bool {
		if f.at <= w.now {
			due = append(due, f.m)
		}
		return f.at <= w.now
	})
	w.rand.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
	for _, m := range due {
		h := w.host(m.To)
		if h.node == nil || w.blocked[link{m.From, m.To}] {
			continue
		}
		h.inbox = append(h.inbox, m)
		w.handle(h)
	}
	return len(due) > 0
}

func (w *network) handle(h *host) {
	if h.stalled {
		return
	}
	for _, m := range h.inbox {
		if h.node == nil {
			return
		}
		h.node.Step(m)
		w.check()
		w.process(h)
	}
	h.inbox = nil
}

func (w *network) propose(h *host, count int) {
	var commands [][]byte
	for range count {
		w.nextValue++
		commands = append(commands, binary.AppendUvarint(nil, w.nextValue))
	}
	_, _, _ = h.node.Propose(commands...)
	w.check()
	w.process(h)
}

func (w *network) read(h *host) {
	w.nextRead++
	before := w.highest
	h.reads[w.nextRead] = before
	_ = h.node.ReadIndex(w.nextRead)
	w.process(h)
}

func (w *network) compact(h *host, retain uint64) {
	if h.applied <= h.disk.Snapshot.Index {
		return
	}
	term, _ := h.node.TermAt(h.applied)
	// The padding makes a snapshot several chunks long.
	data := binary.LittleEndian.AppendUint32(nil, h.sum)
	data = append(data, make([]byte, 20)...)
	meta := SnapshotMeta{Index: h.applied, Term: term, Members: h.node.MembersAt(h.applied), Size: uint64(len(data))}
	h.disk.Entries = slices.Clone(h.disk.Entries[h.applied-h.disk.Snapshot.Index:])
	h.disk.Snapshot, h.data = meta, data
	h.node.Compact(meta, retain)
	w.check()
}
