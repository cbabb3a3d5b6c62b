// Package replica runs one replica of the control log. It connects the Raft
// implementation in package raft to the disk, the other replicas and the state
// machine.
package replica

import (
	"context"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cuminwing/cuminwing/internal/adapter/disk"
	"github.com/cuminwing/cuminwing/internal/control"
	"github.com/cuminwing/cuminwing/internal/raft"
)

// Timeouts and limits of a replica.
const (
	// ElectionTimeout is how long followers support a leader after its last
	// message, and thereby bounds how long a failover waits. It equals ten
	// round trips between regions, and is long enough for a disk sync that
	// takes 25 times as long as usual.
	ElectionTimeout   = 600 * time.Millisecond
	heartbeatInterval = 150 * time.Millisecond
	tickInterval      = 50 * time.Millisecond

	// maxAppendBytes bounds the entry data in one append message.
	maxAppendBytes = 256 << 10
	// maxInflight bounds the entries sent to a replica but not acknowledged.
	maxInflight = 4096
	// maxInflightBytes bounds their size, and so what a leader that lost its
	// leadership still has to send.
	maxInflightBytes = 1 << 20
	// maxProbeBytes bounds the entries in a message that finds out where the log of
	// another replica ends.
	maxProbeBytes = 16 << 10
	// maxUncommitted bounds the uncommitted entries of a leader.
	maxUncommitted = 16384
	// snapshotChunkBytes bounds the snapshot data in one message.
	snapshotChunkBytes = 256 << 10
	// taskQueueCapacity bounds the tasks queued for the goroutine of Run.
	taskQueueCapacity = 4096
	// maxTaskBatch bounds the further tasks that share one disk sync.
	maxTaskBatch = 1024
	// minSnapshotEntries is the number of applied entries after which a
	// snapshot is due, unless the commands since the last snapshot take less
	// than a quarter of its size.
	minSnapshotEntries = 4096
	// minSnapshotLogBytes is the total size of commands after which a snapshot
	// is due at any number of entries, unless the last snapshot was larger.
	minSnapshotLogBytes = 8 << 20
	// retainEntries is the number of entries before a snapshot that stay in
	// memory for slow followers.
	retainEntries = 2048
	// retainBytes bounds the size of these entries: each can hold a large document.
	retainBytes = 4 << 20
	// LogFolder is the folder for the control log within the data folder.
	LogFolder = "control"
)

// Transport sends messages to other replicas. Send may drop messages and must
// not block.
type Transport interface {
	Send(address string, messages []raft.Message)
}

// Config configures a replica.
type Config struct {
	ID string
	// Folder is the data folder of this VM.
	Folder string
	Disk   disk.Options
	// Bootstrap is the initial voter set. It is used only while the folder is
	// empty. It must be empty for a VM that will be added as a learner.
	Bootstrap     raft.Membership
	StateMachines map[control.Kind]control.StateMachine
	Transport     Transport
	// Clock returns the wall-clock time for the timestamps of commands.
	Clock func() time.Time
	// ElectionClock is the clock for elections and leases. If it is nil, the
	// replica uses Go's monotonic clock, which stops while the machine is
	// suspended.
	ElectionClock func() time.Duration
	// OnChange is called when the role, the leader or the failure changes. It
	// must not block. It may be nil.
	OnChange func(Status)
}

// Status is the status of a replica at one point in time.
type Status struct {
	raft.Status
	// Failure is the error that made the replica stop, or nil. After it, the
	// replica neither votes nor acknowledges entries.
	Failure error
}

// snapshotResult is the result of writing a snapshot in the background.
type snapshotResult struct {
	meta raft.SnapshotMeta
	err  error
}

// Replica is one replica of the control log.
type Replica struct {
	config  Config
	node    *raft.Node
	store   *disk.Store
	machine *control.CompositeStateMachine
	started time.Time
	tasks   chan func()
	stopped chan struct{}

	// Only the goroutine of Run accesses these fields.
	queuedProposals  []*proposal
	pendingProposals map[uint64][]*proposal
	pendingReads     map[uint64]*indexWaiter
	lastReadID       uint64
	waiters          []*indexWaiter
	senderAddresses  map[string]string
	snapshot         raft.SnapshotMeta
	// appliedIndex is the index of the last entry applied to the state
	// machine.
	appliedIndex uint64
	// bytesSinceSnapshot is the total size of the commands applied since the
	// last snapshot was started or installed.
	bytesSinceSnapshot int
	// writingSnapshot is true while a snapshot is written in the background.
	writingSnapshot bool
	snapshotDone    chan snapshotResult
	background      sync.WaitGroup

	// leaseEnd is the electionClock time at which the leader lease expires, or 0
	// without a lease.
	leaseEnd atomic.Int64
	mu       sync.Mutex
	status   Status
}

// Open loads the replica's state from disk. The caller must then call Run.
func Open(config Config) (*Replica, error) {
	store, stored, data, err := disk.Open(filepath.Join(config.Folder, LogFolder), config.Disk)
	if err != nil {
		return nil, err
	}
	r := &Replica{
		config:           config,
		store:            store,
		machine:          control.NewCompositeStateMachine(config.StateMachines),
		started:          time.Now(),
		tasks:            make(chan func(), taskQueueCapacity),
		stopped:          make(chan struct{}),
		snapshotDone:     make(chan snapshotResult),
		pendingProposals: make(map[uint64][]*proposal),
		pendingReads:     make(map[uint64]*indexWaiter),
		senderAddresses:  make(map[string]string),
	}
	if err := r.restore(&stored, data); err != nil {
		return nil, errors.Join(err, store.Close())
	}
	r.node = raft.New(raft.Config{
		ID:                config.ID,
		ElectionTimeout:   ElectionTimeout,
		HeartbeatInterval: heartbeatInterval,
		Clock:             r.electionClock,
		Rand:              rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		MaxAppendBytes:    maxAppendBytes,
		MaxInflight:       maxInflight,
		MaxInflightBytes:  maxInflightBytes,
		MaxProbeBytes:     maxProbeBytes,
		MaxUncommitted:    maxUncommitted,
	}, stored)
	r.publishStatus()
	return r, nil
}

func (r *Replica) restore(stored *raft.PersistentState, data []byte) error {
	if len(data) > 0 {
		if err := r.machine.Restore(data); err != nil {
			return fmt.Errorf("restore state machine from the stored snapshot: %w", err)
		}
	}
	if stored.Snapshot.Index == 0 && stored.Snapshot.Members == nil && len(r.config.Bootstrap) > 0 {
		// Store the initial voter set, so that later edits of the settings do
		// not change it.
		stored.Snapshot.Members = r.config.Bootstrap
		if err := r.store.SaveSnapshot(raft.Snapshot{SnapshotMeta: stored.Snapshot}); err != nil {
			return err
		}
	}
	r.snapshot = stored.Snapshot
	r.appliedIndex = stored.Snapshot.Index
	return nil
}

// electionClock returns the current time of the clock for elections and leases.
func (r *Replica) electionClock() time.Duration {
	if r.config.ElectionClock != nil {
		return r.config.ElectionClock()
	}
	return time.Since(r.started)
}

// Run runs the replica until ctx is done or the replica fails, and then closes
// its files.
func (r *Replica) Run(ctx context.Context) {
	defer r.background.Wait()
	defer close(r.stopped)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	r.node.Tick()
	for r.processReady() {
		select {
		case <-ctx.Done():
			r.shutdown(nil)
			return
		case <-ticker.C:
			r.node.Tick()
		case result := <-r.snapshotDone:
			if err := r.finishSnapshot(result); err != nil {
				r.shutdown(err)
				return
			}
		case f := <-r.tasks:
			f()
			r.runQueuedTasks()
		}
		r.proposeQueued()
	}
}

// runQueuedTasks runs up to maxTaskBatch queued tasks, so that one disk sync
// covers all of them.
func (r *Replica) runQueuedTasks() {
	for range maxTaskBatch {
		select {
		case f := <-r.tasks:
			f()
		default:
			return
		}
	}
}

// processReady carries out all pending work of the Raft node and starts a
// snapshot if one is due. It reports false after a failure.
func (r *Replica) processReady() bool {
	for r.node.HasReady() {
		ready := r.node.Ready()
		// A leader that has stepped down must give up its lease before its
		// successor learns that it stepped down.
		r.publishLease()
		r.send(ready.Messages, false)
		if err := r.store.Save(&ready); err != nil {
			r.shutdown(err)
			return false
		}
		r.send(ready.Messages, true)
		if err := r.applyReady(&ready); err != nil {
			r.shutdown(err)
			return false
		}
		r.node.Advance()
	}
	r.publishStatus()
	if err := r.maybeSnapshot(); err != nil {
		r.shutdown(err)
		return false
	}
	return true
}

// send passes messages to the transport. If afterSync is true, it sends only the
// messages that must wait until Store.Save has synced the new state to disk;
// otherwise it sends only the others.
func (r *Replica) send(messages []raft.Message, afterSync bool) {
	batches := make(map[string][]raft.Message)
	for _, m := range messages {
		if m.NeedsSync() != afterSync {
			continue
		}
		if m.Kind == raft.MsgSnapshot && !r.loadSnapshotChunk(&m) {
			continue
		}
		if address := r.addressOf(m.To); address != "" {
			batches[address] = append(batches[address], m)
		}
	}
	for address, batch := range batches {
		r.config.Transport.Send(address, batch)
	}
}

func (r *Replica) loadSnapshotChunk(m *raft.Message) bool {
	data, ok := r.store.ReadChunk(m.Snapshot.Index, m.Offset, snapshotChunkBytes)
	m.Data = data
	return ok
}

func (r *Replica) addressOf(id string) string {
	if member, ok := r.node.Members().Find(id); ok {
		return member.Address
	}
	return r.senderAddresses[id]
}

func (r *Replica) applyReady(ready *raft.Ready) error {
	if s := ready.Snapshot; s != nil {
		if err := r.machine.Restore(s.Data); err != nil {
			return fmt.Errorf("restore state machine from the received snapshot at index %d: %w", s.Index, err)
		}
		r.snapshot = s.SnapshotMeta
		r.appliedIndex = s.Index
		r.bytesSinceSnapshot = 0
		r.failProposalsThrough(s.Index)
	}
	for _, e := range ready.Committed {
		r.applyEntry(e)
	}
	r.notifyWaiters()
	for _, state := range ready.Reads {
		r.completeRead(state)
	}
	return nil
}

func (r *Replica) applyEntry(e raft.Entry) {
	var response []byte
	var err error
	if e.Kind == raft.EntryCommand {
		r.bytesSinceSnapshot += len(e.Data)
		response, err = r.machine.Apply(e.Index, e.Data)
	}
	r.appliedIndex = e.Index
	r.completeProposals(e, response, err)
}

// maybeSnapshot starts a snapshot once the log has grown enough since the last
// one. The larger the state, the more the log must grow, so that most bytes
// written to disk are log entries rather than snapshots.
func (r *Replica) maybeSnapshot() error {
	entries := r.appliedIndex - r.snapshot.Index
	size := int(r.snapshot.Size)
	due := entries >= minSnapshotEntries && r.bytesSinceSnapshot >= size/4 || r.bytesSinceSnapshot >= max(minSnapshotLogBytes, size)
	if !due || r.writingSnapshot || r.node.SendingSnapshot() {
		return nil
	}
	return r.startSnapshot()
}

// startSnapshot encodes the state and writes it to disk in the background, because
// a long write on the goroutine of Run would cost a leader its lease.
func (r *Replica) startSnapshot() error {
	data, err := r.machine.Snapshot()
	if err != nil {
		return err
	}
	term, _ := r.node.TermAt(r.appliedIndex)
	meta := raft.SnapshotMeta{
		Index: r.appliedIndex, Term: term, Members: r.node.MembersAt(r.appliedIndex), Size: uint64(len(data)),
	}
	r.writingSnapshot = true
	r.bytesSinceSnapshot = 0
	r.background.Go(func() {
		err := r.store.WriteSnapshot(&raft.Snapshot{SnapshotMeta: meta, Data: data})
		select {
		case r.snapshotDone <- snapshotResult{meta, err}:
		case <-r.stopped:
		}
	})
	return nil
}

// finishSnapshot makes a written snapshot the current one and removes the files
// and log entries that it replaces.
func (r *Replica) finishSnapshot(result snapshotResult) error {
	r.writingSnapshot = false
	if result.err != nil {
		return result.err
	}
	if err := r.store.ActivateSnapshot(result.meta); err != nil {
		return err
	}
	if result.meta.Index > r.snapshot.Index {
		r.node.Compact(result.meta, retainEntries, retainBytes)
		r.snapshot = result.meta
	}
	return nil
}

// shutdown stops the replica. After a failure, the replica neither votes nor
// acknowledges entries until the process is restarted.
func (r *Replica) shutdown(failure error) {
	r.leaseEnd.Store(0)
	// A caller whose proposal fails must find the failure in the status.
	r.setStatus(Status{
		Status:  raft.Status{ID: r.config.ID, Term: r.node.Status().Term, Members: r.node.Members()},
		Failure: failure,
	})
	r.failAll()
	_ = r.store.Close()
}

func (r *Replica) publishLease() {
	until, ok := r.node.LeaseExpiry()
	if !ok {
		until = 0
	}
	r.leaseEnd.Store(int64(until))
}

func (r *Replica) publishStatus() {
	r.publishLease()
	r.setStatus(Status{Status: r.node.Status()})
}

func (r *Replica) setStatus(s Status) {
	r.mu.Lock()
	old := r.status
	r.status = s
	r.mu.Unlock()
	changed := old.Role != s.Role || old.Leader != s.Leader || old.Failure != s.Failure
	if changed && r.config.OnChange != nil {
		r.config.OnChange(s)
	}
}

// Status returns the latest published status of the replica.
func (r *Replica) Status() Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.status
}

// HoldsLease reports whether this replica leads and its lease guarantees that no
// other replica leads now.
func (r *Replica) HoldsLease() bool {
	return int64(r.electionClock()) < r.leaseEnd.Load()
}

// enqueue queues f to run on the goroutine of Run. It reports false if the queue
// is full or the replica has stopped.
func (r *Replica) enqueue(f func()) bool {
	select {
	case <-r.stopped:
		return false
	default:
	}
	select {
	case r.tasks <- f:
		return true
	default:
		return false
	}
}

// Step processes messages received from the replica at address. An empty address
// leaves the known addresses unchanged.
func (r *Replica) Step(address string, messages []raft.Message) {
	r.enqueue(func() {
		for _, m := range messages {
			if address != "" {
				r.senderAddresses[m.From] = address
			}
			r.node.Step(m)
		}
	})
}
