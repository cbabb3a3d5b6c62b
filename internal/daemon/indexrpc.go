package daemon

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cuminwing/cuminwing/internal/membership"
	"github.com/cuminwing/cuminwing/internal/prefix"
	"github.com/cuminwing/cuminwing/internal/ring"
	"github.com/cuminwing/cuminwing/internal/target"
	indexv1 "github.com/cuminwing/cuminwing/proto/index/v1"
)

const (
	// lookupTimeout limits the wait for the owner of a chain. A round trip
	// within the region takes 1 ms; recomputing a block takes 50 ms.
	lookupTimeout = 5 * time.Millisecond
	// coalesceWait limits how long a lookup waits until another request for the
	// same prefix has been placed. It leaves time for the round trip within
	// lookupTimeout.
	coalesceWait = 3 * time.Millisecond
	// peerRetryDelay is how long lookups skip an owner that did not respond.
	peerRetryDelay = 500 * time.Millisecond
	// publishTimeout limits one publication of cache events. A failed
	// publication causes a resync.
	publishTimeout = time.Second
	// updateTimeout limits one publication of dispatches and load reports, which
	// are useless when they arrive late.
	updateTimeout = 200 * time.Millisecond
	// maxUpdateBatch limits the updates in one publication.
	maxUpdateBatch = 64
)

// indexPeer is another VM that shares the prefix index.
type indexPeer struct {
	incarnation uint64
	address     string
	client      indexv1.IndexService
	// retryAt is when lookups may ask the peer again after a failure, in
	// nanoseconds since the Unix epoch.
	retryAt atomic.Int64
	zone    string
	// pending queues the updates to be sent to the peer.
	pending *ring.Ring[indexUpdate]
	cancel  context.CancelFunc
}

// indexUpdate is a dispatch or a load report for a peer.
type indexUpdate struct {
	dispatch *indexv1.Dispatch
	load     *indexv1.LoadReport
}

// indexPeerFor returns the index peer for a member. An unchanged member keeps
// its client and its queue.
func (r *regionIndex) indexPeerFor(ctx context.Context, old *indexPeers, m membership.Member) *indexPeer {
	if p, ok := old.byVM[m.VM]; ok && p.incarnation == m.Incarnation && p.address == m.PeerAddress {
		return p
	}
	ctx, cancel := context.WithCancel(ctx)
	p := &indexPeer{
		incarnation: m.Incarnation,
		address:     m.PeerAddress,
		client:      indexv1.NewIndexServiceProtobufClient(r.node.peerURL(m.PeerAddress), r.node.peerClient),
		zone:        m.Zone,
		pending:     ring.New[indexUpdate](maxPendingUpdates),
		cancel:      cancel,
	}
	r.tasks.Go(func() { p.sendUpdates(ctx) })
	return p
}

// sendUpdates sends pending updates in batches until ctx ends.
func (p *indexPeer) sendUpdates(ctx context.Context) {
	for {
		first, ok := p.pending.Pop(ctx)
		if !ok {
			return
		}
		req := &indexv1.PublishRequest{}
		first.addTo(req)
		for range maxUpdateBatch - 1 {
			more, ok := p.pending.TryPop()
			if !ok {
				break
			}
			more.addTo(req)
		}
		sendCtx, cancel := context.WithTimeout(ctx, updateTimeout)
		_, _ = p.client.Publish(sendCtx, req)
		cancel()
	}
}

func (u indexUpdate) addTo(req *indexv1.PublishRequest) {
	if u.dispatch != nil {
		req.Dispatches = append(req.Dispatches, u.dispatch)
	}
	if u.load != nil {
		req.Loads = append(req.Loads, u.load)
	}
}

// Lookup implements routing.OwnerLookup. It asks the owner of the chain. It
// returns false if this VM is the owner or if the owner does not respond; the
// local index then serves the lookup.
func (r *regionIndex) Lookup(ctx context.Context, chain []prefix.Hash) ([]prefix.Holding, bool) {
	peers := r.peers.Load()
	owner := peers.owners.Owner(chain[0])
	peer, ok := peers.byVM[owner]
	now := r.node.clock()
	if owner == r.node.settings.VM {
		r.coalesce(ctx, chain)
		return nil, false
	}
	if !ok || now.UnixNano() < peer.retryAt.Load() {
		return nil, false
	}
	ctx, cancel := context.WithTimeout(ctx, r.lookupTimeout)
	defer cancel()
	response, err := peer.client.Lookup(ctx, &indexv1.LookupRequest{Blocks: encodeHashes(chain)})
	if err != nil {
		peer.retryAt.Store(now.Add(peerRetryDelay).UnixNano())
		return nil, false
	}
	holdings := make([]prefix.Holding, 0, len(response.Holdings))
	for _, h := range response.Holdings {
		holdings = append(holdings, prefix.Holding{Ref: decodeRef(h.Target), Blocks: int(h.Blocks)})
	}
	return holdings, true
}

// coalesce waits while another request for the same uncached prefix is being
// placed.
func (r *regionIndex) coalesce(ctx context.Context, chain []prefix.Hash) {
	placed := r.coalescer.Begin(chain, r.local.LongestMatch(chain), r.node.clock())
	if placed == nil {
		return
	}
	timer := time.NewTimer(coalesceWait)
	defer timer.Stop()
	select {
	case <-placed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// publish sends each batch to the owner of its chains. It returns false if an
// owner needs the complete cache contents.
func (r *regionIndex) publish(ctx context.Context, batches map[string]prefix.Batch) bool {
	var calls sync.WaitGroup
	var resync atomic.Bool
	for owner, b := range batches {
		if owner == r.node.settings.VM {
			if r.local.Apply(b) {
				resync.Store(true)
			}
			continue
		}
		// Owners are called in parallel, so that an unreachable one does not
		// delay the others.
		calls.Go(func() {
			if !r.publishTo(ctx, owner, &indexv1.PublishRequest{Batches: []*indexv1.Batch{encodeBatch(b)}}) {
				resync.Store(true)
			}
		})
	}
	calls.Wait()
	return !resync.Load()
}

func (r *regionIndex) publishTo(ctx context.Context, owner string, req *indexv1.PublishRequest) bool {
	peer, ok := r.peers.Load().byVM[owner]
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	response, err := peer.client.Publish(ctx, req)
	return err == nil && len(response.Resync) == 0
}

// indexServer implements indexv1.IndexService for one VM.
type indexServer struct{ index *regionIndex }

// Publish implements indexv1.IndexService.
func (s indexServer) Publish(_ context.Context, req *indexv1.PublishRequest) (*indexv1.PublishResponse, error) {
	response := &indexv1.PublishResponse{}
	for _, b := range req.Batches {
		if s.index.local.Apply(decodeBatch(b)) {
			response.Resync = append(response.Resync, b.Target.GetId())
		}
	}
	for _, d := range req.Dispatches {
		s.applyDispatch(d)
	}
	s.applyLoads(req.Loads)
	return response, nil
}

// applyDispatch adds the dispatch of another VM to the load estimate and, for
// chains that this VM owns, to the predictions of the index.
func (s indexServer) applyDispatch(d *indexv1.Dispatch) {
	ref := decodeRef(d.Target)
	if !d.Failed {
		s.index.picker.AddPeerDispatch(ref, time.Duration(d.WorkUs)*time.Microsecond)
	}
	if len(d.Blocks) == 0 || len(d.Blocks) > prefix.MaxBlocks {
		return
	}
	chain := decodeHashes(d.Blocks)
	if d.Failed {
		s.index.local.RetractPredicted(ref, chain)
		return
	}
	s.index.local.Predict(ref, chain, int(d.Held))
	s.index.coalescer.Complete(chain)
}

// applyLoads passes load reports from other zones to the picker.
func (s indexServer) applyLoads(loads []*indexv1.LoadReport) {
	snap := s.index.node.Snapshot()
	if snap == nil {
		return
	}
	for _, l := range loads {
		load := target.Load{Running: int(l.Running), Waiting: int(l.Waiting), QueuedPrefillTokens: int(l.QueuedPrefillTokens)}
		s.index.picker.ApplyLoadReport(decodeRef(l.Target), load, snap)
	}
}

// Lookup implements indexv1.IndexService.
func (s indexServer) Lookup(ctx context.Context, req *indexv1.LookupRequest) (*indexv1.LookupResponse, error) {
	response := &indexv1.LookupResponse{}
	chain := decodeHashes(req.Blocks)
	s.index.coalesce(ctx, chain)
	for _, h := range s.index.local.Lookup(nil, chain) {
		response.Holdings = append(response.Holdings, &indexv1.Holding{Target: encodeRef(h.Ref), Blocks: uint32(h.Blocks)})
	}
	return response, nil
}

func encodeRef(ref target.Ref) *indexv1.Target {
	return &indexv1.Target{Id: ref.ID, Incarnation: ref.Incarnation}
}

func decodeRef(t *indexv1.Target) target.Ref {
	return target.Ref{ID: t.GetId(), Incarnation: t.GetIncarnation()}
}

func encodeHashes(chain []prefix.Hash) []uint64 {
	out := make([]uint64, len(chain))
	for i, h := range chain {
		out[i] = uint64(h)
	}
	return out
}

func decodeHashes(numbers []uint64) []prefix.Hash {
	out := make([]prefix.Hash, len(numbers))
	for i, n := range numbers {
		out[i] = prefix.Hash(n)
	}
	return out
}

func encodeBatch(b prefix.Batch) *indexv1.Batch {
	out := &indexv1.Batch{Target: encodeRef(b.Ref), Stream: b.Stream, Reset_: b.Reset, Through: b.LastSequence}
	for _, e := range b.Events {
		kind := indexv1.EventKind_EVENT_KIND_STORED
		if e.Kind == prefix.Evicted {
			kind = indexv1.EventKind_EVENT_KIND_EVICTED
		}
		out.Events = append(out.Events, &indexv1.Event{Sequence: e.Sequence, Kind: kind, Blocks: encodeHashes(e.Blocks), AgeMs: e.AgeMS})
	}
	return out
}

func decodeBatch(b *indexv1.Batch) prefix.Batch {
	out := prefix.Batch{Ref: decodeRef(b.Target), Stream: b.Stream, Reset: b.Reset_, LastSequence: b.Through}
	for _, e := range b.Events {
		kind := prefix.Stored
		if e.Kind == indexv1.EventKind_EVENT_KIND_EVICTED {
			kind = prefix.Evicted
		}
		out.Events = append(out.Events, prefix.Event{Sequence: e.Sequence, Kind: kind, Blocks: decodeHashes(e.Blocks), AgeMS: e.AgeMs})
	}
	return out
}
