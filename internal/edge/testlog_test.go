package edge

import (
	"bytes"
	"sync"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// maxLogBytes limits the log that is kept of a test.
const maxLogBytes = 4 << 20

// testLog keeps the log of the processes of a test.
type testLog struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

// Write implements io.Writer.
func (l *testLog) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.buf.Len() < maxLogBytes {
		l.buf.Write(p)
	}
	return len(p), nil
}

// newTestLogger returns a logger whose lines are printed if the test fails.
func newTestLogger(t *testing.T) *zap.Logger {
	log := &testLog{}
	t.Cleanup(func() {
		if t.Failed() {
			log.mu.Lock()
			defer log.mu.Unlock()
			t.Logf("log of the processes:\n%s", log.buf.String())
		}
	})
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	return zap.New(zapcore.NewCore(zapcore.NewConsoleEncoder(config), zapcore.AddSync(log), zap.InfoLevel))
}
