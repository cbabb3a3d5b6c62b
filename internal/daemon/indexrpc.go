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
	// lookupTimeout bounds the wait for the owner of a chain. A round trip
	// inside the region takes 1 ms; a block that is computed again costs 50.
	lookupTimeout = 5 * time.Millisecond
	// coalesceWait is how long a lookup waits for the choice of another VM; it
	// leaves time for the round trip within lookupTimeout.
	coalesceWait = 3 * time.Millisecond
	// peerPause is how long an owner that did not answer is not asked.
	peerPause = 500 * time.Millisecond
	// publishTimeout bounds a publication; a lost one leads to a resync.
	publishTimeout = time.Second
	// newsTimeout bounds a publication of dispatches and loads, which are of
	// no use later.
	newsTimeout = 200 * time.Millisecond
	// maxNewsBatch bounds one publication of them.
	maxNewsBatch = 64
)

// indexPeer is another VM that owns chains.
type indexPeer struct {
	incarnation uint64
	address     string
	client      indexv1.IndexService
	// silent is when the peer may be asked again, in nanoseconds since 1970.
	silent atomic.Int64
	zone   string
	// waiting is what has to be sent.
	waiting *ring.Ring[news]
	cancel  context.CancelFunc
}

// news is a dispatch or a load report.
type news struct {
	dispatch *indexv1.Dispatch
	load     *indexv1.LoadReport
}

// peer keeps the former connection state of an unchanged member.
func (r *routingDuty) peer(ctx context.Context, old *indexPeers, m membership.Member) *indexPeer {
	if p, ok := old.clients[m.VM]; ok && p.incarnation == m.Incarnation && p.address == m.PeerAddress {
		return p
	}
	ctx, cancel := context.WithCancel(ctx)
	p := &indexPeer{
		incarnation: m.Incarnation,
		address:     m.PeerAddress,
		client:      indexv1.NewIndexServiceProtobufClient(r.node.peerURL(m.PeerAddress), r.node.peerClient),
		zone:        m.Zone,
		waiting:     ring.New[news](maxWaitingNews),
		cancel:      cancel,
	}
	r.done.Go(func() { p.sendNews(ctx) })
	return p
}

// sendNews sends what is waiting in one message.
func (p *indexPeer) sendNews(ctx context.Context) {
	for {
		first, ok := p.waiting.Pop(ctx)
		if !ok {
			return
		}
		req := &indexv1.PublishRequest{}
		first.addTo(req)
		for range maxNewsBatch - 1 {
			more, ok := p.waiting.TryPop()
			if !ok {
				break
			}
			more.addTo(req)
		}
		sendCtx, cancel := context.WithTimeout(ctx, newsTimeout)
		_, _ = p.client.Publish(sendCtx, req)
		cancel()
	}
}

func (n news) addTo(req *indexv1.PublishRequest) {
	if n.dispatch != nil {
		req.Dispatches = append(req.Dispatches, n.dispatch)
	}
	if n.load != nil {
		req.Loads = append(req.Loads, n.load)
	}
}

// Lookup implements routing.Lookup.
func (r *routingDuty) Lookup(ctx context.Context, chain []prefix.Hash) ([]prefix.Holding, bool) {
	peers := r.peers.Load()
	owner := peers.owners.Owner(chain[0])
	peer, ok := peers.clients[owner]
	now := r.node.clock()
	if owner == r.node.settings.VM {
		r.coalesce(ctx, chain)
		return nil, false
	}
	if !ok || now.UnixNano() < peer.silent.Load() {
		return nil, false
	}
	ctx, cancel := context.WithTimeout(ctx, r.lookupTimeout)
	defer cancel()
	answer, err := peer.client.Lookup(ctx, &indexv1.LookupRequest{Blocks: toNumbers(chain)})
	if err != nil {
		peer.silent.Store(now.Add(peerPause).UnixNano())
		return nil, false
	}
	holdings := make([]prefix.Holding, 0, len(answer.Holdings))
	for _, h := range answer.Holdings {
		holdings = append(holdings, prefix.Holding{Ref: fromTarget(h.Target), Blocks: int(h.Blocks)})
	}
	return holdings, true
}

// coalesce waits while another request for the same cold prefix is placed.
func (r *routingDuty) coalesce(ctx context.Context, chain []prefix.Hash) {
	placed := r.intents.Begin(chain, r.index.Longest(chain), r.node.clock())
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

// publish sends each batch to its owner. It reports false if one of them has
// to get the whole content.
func (r *routingDuty) publish(ctx context.Context, batches map[string]prefix.Batch) bool {
	var wait sync.WaitGroup
	var lost atomic.Bool
	for owner, b := range batches {
		if owner == r.node.settings.VM {
			if r.index.Apply(b) {
				lost.Store(true)
			}
			continue
		}
		// A dead owner must not hold up the others.
		wait.Go(func() {
			if !r.publishTo(ctx, owner, &indexv1.PublishRequest{Batches: []*indexv1.Batch{fromBatch(b)}}) {
				lost.Store(true)
			}
		})
	}
	wait.Wait()
	return !lost.Load()
}

func (r *routingDuty) publishTo(ctx context.Context, owner string, req *indexv1.PublishRequest) bool {
	peer, ok := r.peers.Load().clients[owner]
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	answer, err := peer.client.Publish(ctx, req)
	return err == nil && len(answer.Resync) == 0
}

// indexServer implements the index service for one VM.
type indexServer struct{ duty *routingDuty }

// Publish implements indexv1.IndexService.
func (s indexServer) Publish(_ context.Context, req *indexv1.PublishRequest) (*indexv1.PublishResponse, error) {
	answer := &indexv1.PublishResponse{}
	for _, b := range req.Batches {
		if s.duty.index.Apply(toBatch(b)) {
			answer.Resync = append(answer.Resync, b.Target.GetId())
		}
	}
	for _, d := range req.Dispatches {
		s.takeDispatch(d)
	}
	s.takeLoads(req.Loads)
	return answer, nil
}

func (s indexServer) takeDispatch(d *indexv1.Dispatch) {
	ref := fromTarget(d.Target)
	if !d.Failed {
		s.duty.picker.Elsewhere(ref, time.Duration(d.WorkUs)*time.Microsecond)
	}
	if len(d.Blocks) == 0 || len(d.Blocks) > prefix.MaxBlocks {
		return
	}
	chain := toHashes(d.Blocks)
	if d.Failed {
		s.duty.index.RetractPredicted(ref, chain)
		return
	}
	s.duty.index.Predict(ref, chain, int(d.Held))
	s.duty.intents.Placed(chain)
}

func (s indexServer) takeLoads(loads []*indexv1.LoadReport) {
	snap := s.duty.node.Snapshot()
	if snap == nil {
		return
	}
	for _, l := range loads {
		load := target.Load{Running: int(l.Running), Waiting: int(l.Waiting), QueuedPrefillTokens: int(l.QueuedPrefillTokens)}
		s.duty.picker.Report(fromTarget(l.Target), load, snap)
	}
}

// Lookup implements indexv1.IndexService.
func (s indexServer) Lookup(ctx context.Context, req *indexv1.LookupRequest) (*indexv1.LookupResponse, error) {
	answer := &indexv1.LookupResponse{}
	chain := toHashes(req.Blocks)
	s.duty.coalesce(ctx, chain)
	for _, h := range s.duty.index.Lookup(nil, chain) {
		answer.Holdings = append(answer.Holdings, &indexv1.Holding{Target: toTarget(h.Ref), Blocks: uint32(h.Blocks)})
	}
	return answer, nil
}

func toTarget(ref target.Ref) *indexv1.Target {
	return &indexv1.Target{Id: ref.ID, Incarnation: ref.Incarnation}
}

func fromTarget(t *indexv1.Target) target.Ref {
	return target.Ref{ID: t.GetId(), Incarnation: t.GetIncarnation()}
}

func toNumbers(chain []prefix.Hash) []uint64 {
	out := make([]uint64, len(chain))
	for i, h := range chain {
		out[i] = uint64(h)
	}
	return out
}

func toHashes(numbers []uint64) []prefix.Hash {
	out := make([]prefix.Hash, len(numbers))
	for i, n := range numbers {
		out[i] = prefix.Hash(n)
	}
	return out
}

func fromBatch(b prefix.Batch) *indexv1.Batch {
	out := &indexv1.Batch{Target: toTarget(b.Ref), Stream: b.Stream, Reset_: b.Reset, Through: b.Through}
	for _, e := range b.Events {
		kind := indexv1.EventKind_EVENT_KIND_STORED
		if e.Kind == prefix.Evicted {
			kind = indexv1.EventKind_EVENT_KIND_EVICTED
		}
		out.Events = append(out.Events, &indexv1.Event{Sequence: e.Sequence, Kind: kind, Blocks: toNumbers(e.Blocks), AgeMs: e.AgeMS})
	}
	return out
}

func toBatch(b *indexv1.Batch) prefix.Batch {
	out := prefix.Batch{Ref: fromTarget(b.Target), Stream: b.Stream, Reset: b.Reset_, Through: b.Through}
	for _, e := range b.Events {
		kind := prefix.Stored
		if e.Kind == indexv1.EventKind_EVENT_KIND_EVICTED {
			kind = prefix.Evicted
		}
		out.Events = append(out.Events, prefix.Event{Sequence: e.Sequence, Kind: kind, Blocks: toHashes(e.Blocks), AgeMS: e.AgeMs})
	}
	return out
}
