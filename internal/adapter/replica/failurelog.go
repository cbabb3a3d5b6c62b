package replica

import (
	"sync"
	"time"

	"go.uber.org/zap"

	raftv1 "github.com/cuminwing/cuminwing/proto/raft/v1"
)

// failureLog logs when requests to one replica begin to fail and when they succeed
// again. It is not safe for concurrent use.
type failureLog struct {
	logger  *zap.Logger
	address string

	mu sync.Mutex
	// failed counts the requests that have failed since the last success.
	failed int
}

// record records the result of a request with a payload of the given size.
func (f *failureLog) record(request *raftv1.StepRequest, payloadBytes int, took time.Duration, err error) {
	if f.logger == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if err == nil && f.failed == 0 {
		return
	}
	fields := []zap.Field{
		zap.String("address", f.address), zap.Int("messages", len(request.GetMessages())), zap.Int("payload_bytes", payloadBytes),
		zap.Duration("took", took),
	}
	if err == nil {
		f.logger.Info("requests to a replica succeed again", append(fields, zap.Int("failed", f.failed))...)
		f.failed = 0
		return
	}
	if f.failed == 0 {
		f.logger.Info("request to a replica failed", append(fields, zap.Error(err))...)
	}
	f.failed++
}
