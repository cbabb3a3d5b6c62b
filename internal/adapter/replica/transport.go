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
	// stepTimeout bounds a request without payload. It is shorter than the election
	// timeout, so that an unresponsive connection does not cost a leader its lease.
	stepTimeout = ElectionTimeout / 2
	// minBytesPerSecond is the slowest rate at which payload is expected to be
	// sent: 2 Mbit/s.
	minBytesPerSecond = 256 << 10
	// urgentSenders is the number of goroutines that send urgent messages to one
	// replica. While one waits for a lost packet, the others go on.
	urgentSenders = 3
	// sendQueueCapacity bounds the messages queued for one replica.
	sendQueueCapacity = 1024
	// maxBatchMessages bounds the messages in one request.
	maxBatchMessages = 256
	// maxBatchBytes is the payload size at which a request is complete.
	maxBatchBytes = 1 << 20
	// sendRetryDelay is the delay after a failed request.
	sendRetryDelay = 50 * time.Millisecond
)

// TransferTime returns how long the payload of a call may take beyond the time limit
// of a call without payload. A limit that does not depend on the size would end the
// transfer of a large payload over a slow link each time it is tried.
func TransferTime(payloadBytes int) time.Duration {
	return time.Duration(payloadBytes) * time.Second / minBytesPerSecond
}

// TwirpTransport implements Transport over Twirp. For each replica it has goroutines that
// send one request at a time: one for ordered messages, which can be large, and
// urgentSenders for those that must not wait for them.
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

	mu    sync.Mutex
	peers map[string]*sendQueues
}

// sendQueues are the messages that wait to be sent to one replica.
type sendQueues struct {
	ordered, urgent *ring.Ring[raft.Message]
}

// Send implements Transport. Messages that do not fit in the queue are dropped;
// package raft sends them again.
func (t *TwirpTransport) Send(address string, messages []raft.Message) {
	queues := t.queuesFor(address)
	for _, m := range messages {
		if m.Ordered {
			queues.ordered.Push(m)
		} else {
			queues.urgent.Push(m)
		}
	}
}

func (t *TwirpTransport) queuesFor(address string) *sendQueues {
	t.mu.Lock()
	defer t.mu.Unlock()
	if queues, ok := t.peers[address]; ok {
		return queues
	}
	if t.peers == nil {
		t.peers = make(map[string]*sendQueues)
	}
	queues := &sendQueues{ring.New[raft.Message](sendQueueCapacity), ring.New[raft.Message](sendQueueCapacity)}
	t.peers[address] = queues
	client := raftv1.NewRaftServiceProtobufClient(t.URL(address), t.Client)
	t.startSenders(client, address, queues.ordered, 1)
	t.startSenders(client, address, queues.urgent, urgentSenders)
	return queues
}

// startSenders starts count goroutines that send the messages of a queue.
func (t *TwirpTransport) startSenders(client raftv1.RaftService, address string, queue *ring.Ring[raft.Message], count int) {
	failures := &failureLog{logger: t.Logger, address: address}
	for range count {
		t.Go(func(ctx context.Context) { t.sendLoop(ctx, client, queue, failures) })
	}
}

func (t *TwirpTransport) sendLoop(ctx context.Context, client raftv1.RaftService, queue *ring.Ring[raft.Message], failures *failureLog) {
	for {
		first, ok := queue.Pop(ctx)
		if !ok {
			return
		}
		request, size := t.collectBatch(first, queue)
		callCtx, cancel := context.WithTimeout(ctx, stepTimeout+TransferTime(size))
		started := time.Now()
		_, err := client.Step(callCtx, request)
		cancel()
		failures.record(request, size, time.Since(started), err)
		if err != nil {
			pause.For(ctx, sendRetryDelay)
		}
	}
}

// collectBatch returns a request with m and further queued messages, up to
// maxBatchMessages messages or about maxBatchBytes of payload, and the size of its
// payload.
func (t *TwirpTransport) collectBatch(m raft.Message, queue *ring.Ring[raft.Message]) (*raftv1.StepRequest, int) {
	request := &raftv1.StepRequest{FromAddress: t.Self}
	size := 0
	for {
		request.Messages = append(request.Messages, encodeMessage(&m))
		size += payloadSize(&m)
		if len(request.Messages) == maxBatchMessages || size >= maxBatchBytes {
			return request, size
		}
		var ok bool
		if m, ok = queue.TryPop(); !ok {
			return request, size
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
