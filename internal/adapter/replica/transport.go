package replica

import (
	"context"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/cuminwing/cuminwing/internal/pause"
	"github.com/cuminwing/cuminwing/internal/raft"
	"github.com/cuminwing/cuminwing/internal/ring"
	raftv1 "github.com/cuminwing/cuminwing/proto/raft/v1"
)

const (
	// stepTimeout bounds one request. It is shorter than the election timeout,
	// so that an unresponsive connection does not cost a leader its lease.
	stepTimeout = ElectionTimeout / 2
	// sendQueueCapacity bounds the messages queued for one replica.
	sendQueueCapacity = 1024
	// maxBatchMessages bounds the messages in one request.
	maxBatchMessages = 256
	// maxBatchBytes is the payload size at which a request is complete.
	maxBatchBytes = 1 << 20
	// sendRetryDelay is the delay after a failed request.
	sendRetryDelay = 50 * time.Millisecond
)

// TwirpTransport implements Transport over Twirp. For each replica it has one
// goroutine, which sends one request at a time.
type TwirpTransport struct {
	// Self is the address at which other replicas reach this VM.
	Self string
	// URL returns the base URL for an address.
	URL func(address string) string
	// Client sends the requests.
	Client *http.Client
	// Go starts a goroutine whose context is canceled when the VM stops.
	Go func(func(context.Context))
	// Logger reports when requests to a replica begin to fail and when they
	// succeed again. It may be nil.
	Logger *zap.Logger

	mu     sync.Mutex
	queues map[string]*ring.Ring[raft.Message]
}

// Send implements Transport. Messages that do not fit in the queue are dropped;
// package raft sends them again.
func (t *TwirpTransport) Send(address string, messages []raft.Message) {
	queue := t.queueFor(address)
	for _, m := range messages {
		queue.Push(m)
	}
}

func (t *TwirpTransport) queueFor(address string) *ring.Ring[raft.Message] {
	t.mu.Lock()
	defer t.mu.Unlock()
	if queue, ok := t.queues[address]; ok {
		return queue
	}
	if t.queues == nil {
		t.queues = make(map[string]*ring.Ring[raft.Message])
	}
	queue := ring.New[raft.Message](sendQueueCapacity)
	t.queues[address] = queue
	client := raftv1.NewRaftServiceProtobufClient(t.URL(address), t.Client)
	t.Go(func(ctx context.Context) { t.sendLoop(ctx, client, address, queue) })
	return queue
}

func (t *TwirpTransport) sendLoop(ctx context.Context, client raftv1.RaftService, address string, queue *ring.Ring[raft.Message]) {
	failures := failureLog{logger: t.Logger, address: address}
	for {
		first, ok := queue.Pop(ctx)
		if !ok {
			return
		}
		request := t.collectBatch(first, queue)
		callCtx, cancel := context.WithTimeout(ctx, stepTimeout)
		started := time.Now()
		_, err := client.Step(callCtx, request)
		cancel()
		failures.record(request, time.Since(started), err)
		if err != nil {
			pause.For(ctx, sendRetryDelay)
		}
	}
}

// collectBatch returns a request with m and further queued messages, up to
// maxBatchMessages messages or about maxBatchBytes of payload.
func (t *TwirpTransport) collectBatch(m raft.Message, queue *ring.Ring[raft.Message]) *raftv1.StepRequest {
	request := &raftv1.StepRequest{FromAddress: t.Self}
	size := 0
	for {
		request.Messages = append(request.Messages, encodeMessage(&m))
		size += payloadSize(&m)
		if len(request.Messages) == maxBatchMessages || size >= maxBatchBytes {
			return request
		}
		var ok bool
		if m, ok = queue.TryPop(); !ok {
			return request
		}
	}
}

func payloadSize(m *raft.Message) int {
	size := len(m.Data)
	for i := range m.Entries {
		size += len(m.Entries[i].Data)
	}
	return size
}
