// Package logsink writes log lines without blocking the code that logs. Lines
// pass through a bounded queue to a single writer goroutine. Lines that do not
// fit into the queue are dropped, and their number is logged.
package logsink

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/cuminwing/cuminwing/internal/ring"
)

const (
	// queueCapacity is the maximum number of lines that wait for the writer.
	queueCapacity = 2048
	// maxBatchBytes is the size at which the writer stops adding lines to a
	// write.
	maxBatchBytes = 32 << 10
	// batchDelay is how long the writer waits for more lines before a write,
	// which limits it to a few wake-ups and writes per second. It does not wait
	// while the queue is at least half full.
	batchDelay = 100 * time.Millisecond
	// flushTimeout is how long Close waits for the queued lines to be written
	// when the process exits.
	flushTimeout = 300 * time.Millisecond
	// sampleFirst and sampleThereafter limit repeated messages: of the lines
	// with the same level and message in one second, the first sampleFirst are
	// logged, and then every sampleThereafter-th.
	sampleFirst      = 200
	sampleThereafter = 50
)

// Sink queues the lines of a logger and writes them.
type Sink struct {
	lines *ring.Ring[[]byte]
	out   io.Writer
	// closing is closed by Close, and done once the queued lines are written.
	closing, done chan struct{}
	closeOnce     sync.Once
	// sampledOut counts the lines dropped by sampling.
	sampledOut atomic.Uint64
}

// New returns a logger that writes JSON lines to out, and the logger's sink.
func New(out io.Writer) (*zap.Logger, *Sink) {
	s := &Sink{lines: ring.New[[]byte](queueCapacity), out: out, closing: make(chan struct{}), done: make(chan struct{})}
	encoding := zap.NewProductionEncoderConfig()
	encoding.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	encoding.EncodeDuration = zapcore.MillisDurationEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoding), zapcore.AddSync(s), zap.InfoLevel)
	go s.run()
	sampler := zapcore.NewSamplerWithOptions(core, time.Second, sampleFirst, sampleThereafter, zapcore.SamplerHook(s.countSampledOut))
	return zap.New(sampler), s
}

func (s *Sink) countSampledOut(_ zapcore.Entry, decision zapcore.SamplingDecision) {
	if decision&zapcore.LogDropped > 0 {
		s.sampledOut.Add(1)
	}
}

// Write implements io.Writer. It does not block on the underlying writer.
func (s *Sink) Write(line []byte) (int, error) {
	s.lines.Push(append([]byte(nil), line...))
	return len(line), nil
}

// Close stops accepting lines and waits up to flushTimeout for the queued ones to
// be written.
func (s *Sink) Close() {
	s.lines.Close()
	s.closeOnce.Do(func() { close(s.closing) })
	select {
	case <-s.done:
	case <-time.After(flushTimeout):
	}
}

func (s *Sink) run() {
	defer close(s.done)
	reported := uint64(0)
	for {
		line, ok := s.lines.Pop(context.Background())
		if !ok {
			return
		}
		if s.lines.Len() < queueCapacity/2 {
			s.awaitMoreLines()
		}
		batch := s.collectBatch(line)
		if dropped := s.lines.Dropped() + s.sampledOut.Load(); dropped > reported {
			batch = fmt.Appendf(batch, "{\"level\":\"warn\",\"msg\":\"log lines dropped\",\"lines\":%d}\n", dropped-reported)
			reported = dropped
		}
		// The error is ignored because there is nowhere to report it.
		_, _ = s.out.Write(batch)
	}
}

// awaitMoreLines waits for batchDelay. It returns at once when the process exits, so that
// all queued lines are written in time.
func (s *Sink) awaitMoreLines() {
	select {
	case <-s.closing:
	case <-time.After(batchDelay):
	}
}

func (s *Sink) collectBatch(line []byte) []byte {
	batch := append([]byte(nil), line...)
	for len(batch) < maxBatchBytes {
		next, ok := s.lines.TryPop()
		if !ok {
			break
		}
		batch = append(batch, next...)
	}
	return batch
}
