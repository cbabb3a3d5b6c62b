// Package stallwatch measures how late the goroutines of a process are run. The processor
// time that the process used meanwhile tells the two causes apart: little of it means that
// the machine did not run the process, as much as the delay that the process was busy itself.
package stallwatch

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"github.com/cuminwing/cuminwing/internal/adapter/boottime"
	"github.com/cuminwing/cuminwing/internal/pause"
)

const (
	// interval is the time between two measurements.
	interval = 100 * time.Millisecond
	// loggedDelay is the delay from which on a line is logged. It is less than half of the time
	// after which the voters of a control log elect another leader.
	loggedDelay = 250 * time.Millisecond
)

// Usage is what a process has used since its start.
type Usage struct {
	// Processor is the processor time, of the program and of the kernel on its behalf.
	Processor time.Duration
	// DiskFaults counts the page faults that waited for a disk.
	DiskFaults int64
	// Preemptions counts how often the machine ran something else although the process
	// could have gone on.
	Preemptions int64
}

// Watch measures the delays of this process.
type Watch struct {
	logger *zap.Logger
	// now, pause and usage are replaced by tests.
	now   func() time.Duration
	pause func(context.Context, time.Duration) bool
	usage func() Usage

	maxDelay atomic.Int64
	stalls   atomic.Int64
}

// New returns a Watch that logs delays of 250 ms and more.
func New(logger *zap.Logger) *Watch {
	return &Watch{logger: logger, now: boottime.Now, pause: pause.For, usage: ownUsage}
}

// Run measures until ctx is done.
func (w *Watch) Run(ctx context.Context) {
	began, before := w.now(), w.usage()
	for w.pause(ctx, interval) {
		now, after := w.now(), w.usage()
		w.record(now-began-interval, before, after)
		began, before = now, after
	}
}

// record counts a delay and logs a long one.
func (w *Watch) record(delay time.Duration, before, after Usage) {
	if int64(delay) > w.maxDelay.Load() {
		w.maxDelay.Store(int64(delay))
	}
	if delay < loggedDelay {
		return
	}
	w.stalls.Add(1)
	w.logger.Warn("process stood still", zap.Duration("delay", delay),
		zap.Duration("processor_time", after.Processor-before.Processor),
		zap.Int64("preemptions", after.Preemptions-before.Preemptions),
		zap.Int64("disk_faults", after.DiskFaults-before.DiskFaults))
}

// MaxDelay returns the longest delay since the start.
func (w *Watch) MaxDelay() time.Duration { return time.Duration(w.maxDelay.Load()) }

// Stalls returns the number of delays that were logged.
func (w *Watch) Stalls() int64 { return w.stalls.Load() }

// Register publishes the measurements as gauges.
func (w *Watch) Register(gauge func(name string, value func() any)) {
	gauge("scheduling_delay_max_ms", func() any { return w.MaxDelay().Milliseconds() })
	gauge("process_stalls", func() any { return w.Stalls() })
}

func ownUsage() Usage {
	var u unix.Rusage
	// It fails only for an invalid argument.
	_ = unix.Getrusage(unix.RUSAGE_SELF, &u)
	return Usage{
		Processor:  time.Duration(u.Utime.Nano() + u.Stime.Nano()),
		DiskFaults: u.Majflt, Preemptions: u.Nivcsw,
	}
}
