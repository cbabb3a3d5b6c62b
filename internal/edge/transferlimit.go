package edge

import (
	"context"
	"sync"
	"time"

	"github.com/cuminwing/cuminwing/internal/adapter/replica"
)

// transferLimitKey is the key of the transferLimit in the context of a call.
type transferLimitKey struct{}

// transferLimit is a time limit of a call that grows with the received bytes, so that
// a large response over a slow link can be completed and one that stalls ends.
type transferLimit struct {
	mu       sync.Mutex
	deadline time.Time
	timer    *time.Timer
	received int
}

// withTransferLimit returns a context for a call that ends after limit, not counting
// the time that the bytes of the response may take.
func withTransferLimit(ctx context.Context, limit time.Duration) (context.Context, *transferLimit, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	l := &transferLimit{deadline: time.Now().Add(limit)}
	l.timer = time.AfterFunc(limit, func() { cancel(context.DeadlineExceeded) })
	return context.WithValue(ctx, transferLimitKey{}, l), l, func() {
		l.timer.Stop()
		cancel(context.Canceled)
	}
}

// extend adds the time that n received bytes may take.
func (l *transferLimit) extend(n int) {
	if l == nil || n <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.received += n
	l.deadline = l.deadline.Add(replica.TransferTime(n))
	l.timer.Reset(time.Until(l.deadline))
}

// receiving reports whether a part of the response has been received.
func (l *transferLimit) receiving() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.received > 0
}
