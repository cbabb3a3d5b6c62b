package stallwatch

import (
	"context"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

// Guards against a stall of the machine that cannot be told from one of the process, and
// against a line for each short delay.
func TestStallIsLoggedWithTheProcessorTimeUsed(t *testing.T) {
	const short, long = 50 * time.Millisecond, 4 * time.Second
	core, logged := observer.New(zap.InfoLevel)
	w := New(zap.New(core))
	var now time.Duration
	var used Usage
	delays := []time.Duration{0, short, long, short}
	w.now = func() time.Duration { return now }
	w.usage = func() Usage { return used }
	w.pause = func(_ context.Context, d time.Duration) bool {
		if len(delays) == 0 {
			return false
		}
		now += d + delays[0]
		used.Processor += time.Millisecond
		used.Preemptions++
		delays = delays[1:]
		return true
	}
	w.Run(context.Background())
	lines := logged.All()
	if len(lines) != 1 || w.Stalls() != 1 || w.MaxDelay() != long {
		t.Fatalf("%d lines, %d stalls, longest %v; want one of %v", len(lines), w.Stalls(), w.MaxDelay(), long)
	}
	fields := lines[0].ContextMap()
	if fields["delay"] != long || fields["processor_time"] != time.Millisecond || fields["preemptions"] != int64(1) {
		t.Errorf("the line has %v", fields)
	}
}
