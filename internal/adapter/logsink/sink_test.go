package logsink

import (
	"bytes"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
)

// stalledWriter blocks writes until release is closed, like a pipe whose reader
// has stopped reading.
type stalledWriter struct{ release chan struct{} }

func (s stalledWriter) Write(b []byte) (int, error) {
	<-s.release
	return len(b), nil
}

// Guards against a stalled reader of the log output that blocks requests.
func TestStalledReaderDoesNotBlockTheLogger(t *testing.T) {
	out := stalledWriter{make(chan struct{})}
	logger, sink := New(out)
	defer close(out.release)
	done := make(chan struct{})
	go func() {
		for i := range 5 * queueCapacity {
			logger.Info("line", zap.Int("i", i))
			logger.Warn(strings.Repeat("w", i%50), zap.Int("i", i))
		}
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("the logger blocks on a stalled reader")
	}
	if sink.lines.Len() > queueCapacity {
		t.Errorf("%d lines are queued, want at most %d", sink.lines.Len(), queueCapacity)
	}
}

type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *lockedBuffer) Write(data []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(data)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.String()
}

// heldBuffer is a lockedBuffer whose writes wait until release is closed.
type heldBuffer struct {
	lockedBuffer
	release chan struct{}
}

func (b *heldBuffer) Write(data []byte) (int, error) {
	<-b.release
	return b.lockedBuffer.Write(data)
}

// Guards against lines that are lost when the process exits, and against
// dropped lines that are not reported: each line is either written or counted.
func TestLinesAreWrittenAndDroppedOnesAreReported(t *testing.T) {
	const pushed = 2 * queueCapacity
	// The line is so long that a batch takes far fewer lines than are dropped.
	filler := strings.Repeat("f", 100) + "\n"
	out := &heldBuffer{release: make(chan struct{})}
	logger, sink := New(out)
	logger.Info("first", zap.String("id", "r1"))
	// Without this wait the first line could be dropped, as the oldest one.
	for sink.lines.Len() > 0 {
		time.Sleep(time.Millisecond)
	}
	for range pushed {
		if _, err := sink.Write([]byte(filler)); err != nil {
			t.Fatal(err)
		}
	}
	close(out.release)
	sink.Close()
	text := out.String()
	if !strings.Contains(text, `"id":"r1"`) {
		t.Error("the first line was not written")
	}
	dropped := 0
	for _, match := range regexp.MustCompile(`"log lines dropped","lines":(\d+)}`).FindAllStringSubmatch(text, -1) {
		n, err := strconv.Atoi(match[1])
		if err != nil {
			t.Fatal(err)
		}
		dropped += n
	}
	written := strings.Count(text, filler)
	if dropped == 0 || written == 0 || written+dropped != pushed {
		t.Errorf("%d lines are written and %d reported as dropped, of %d", written, dropped, pushed)
	}
}

// Guards against lines that are dropped by sampling and not reported.
func TestSampledLinesAreReported(t *testing.T) {
	var out lockedBuffer
	logger, sink := New(&out)
	for range 3 * sampleFirst {
		logger.Info("same")
	}
	time.Sleep(3 * batchDelay)
	logger.Info("other")
	sink.Close()
	if text := out.String(); !strings.Contains(text, "log lines dropped") {
		t.Error("lines dropped by sampling are not reported")
	}
}
