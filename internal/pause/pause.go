// Package pause provides a sleep that ends early when a context is done.
package pause

import (
	"context"
	"time"
)

// For waits for d or until ctx is done. It reports whether ctx was still active
// at the end.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return ctx.Err() == nil
	}
}
