package edge

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/cuminwing/cuminwing/internal/proxy"
)

const (
	// turnFreeBytes is the part of a transfer that needs no turn. All bodies but large
	// documents are smaller.
	turnFreeBytes = 64 << 10
	// turnStallLimit is how long a transfer with the turn may make no progress before
	// the next one gets the turn. It is several round trips between regions.
	turnStallLimit = 250 * time.Millisecond
	// turnLength is how long a transfer keeps the turn while others wait for it, so that
	// a slow one does not keep them waiting until it has ended.
	turnLength = time.Second
)

// transferTurns lets large transfers of one direction take place one after the other.
// Several at once would fill the queue of a slow link between regions, and the calls
// between VMs that share the link would exceed their time limits for as long as the
// transfers last.
type transferTurns struct {
	// turn holds a value while no transfer has the turn.
	turn chan struct{}
}

func newTransferTurns() *transferTurns {
	t := &transferTurns{turn: make(chan struct{}, 1)}
	t.turn <- struct{}{}
	return t
}

// transfer is one transfer. It is not safe for concurrent use.
type transfer struct {
	turns *transferTurns
	ctx   context.Context
	bytes int
	// held is set while this transfer has the turn, since is when it got it.
	held  bool
	since time.Time
	// stall passes the turn on if the present read or write takes too long.
	stall *time.Timer
}

// begin returns a transfer that ends when end is called or ctx is done.
func (t *transferTurns) begin(ctx context.Context) *transfer {
	return &transfer{turns: t, ctx: ctx}
}

// run calls f, which reads or writes a part of the transfer and returns its size. It
// first waits for the turn.
func (t *transfer) run(f func() (int, error)) (int, error) {
	if t.held && time.Since(t.since) > turnLength {
		t.end()
	}
	if t.bytes >= turnFreeBytes && !t.held {
		select {
		case <-t.turns.turn:
			t.held, t.since = true, time.Now()
		case <-t.ctx.Done():
			return 0, t.ctx.Err()
		}
	}
	if t.held {
		t.stall = time.AfterFunc(turnStallLimit, func() { t.turns.turn <- struct{}{} })
	}
	n, err := f()
	t.bytes += n
	if t.held && !t.stall.Stop() {
		t.held = false
	}
	return n, err
}

// end passes the turn on.
func (t *transfer) end() {
	if t.held {
		t.held = false
		t.turns.turn <- struct{}{}
	}
}

// reader returns a reader of body that takes turns.
func (t *transfer) reader(body io.Reader) io.Reader {
	return readerFunc(func(b []byte) (int, error) {
		return t.run(func() (int, error) { return body.Read(b) })
	})
}

type readerFunc func([]byte) (int, error)

// Read implements io.Reader.
func (f readerFunc) Read(b []byte) (int, error) { return f(b) }

// writeAll writes data to w in parts, taking turns.
func (t *transfer) writeAll(w io.Writer, data []byte) error {
	for len(data) > 0 {
		part := data[:min(len(data), turnFreeBytes)]
		n, err := t.run(func() (int, error) { return w.Write(part) })
		if err != nil {
			return err
		}
		data = data[n:]
	}
	return nil
}

// ReadBody reads a body of an operator or a target. Large bodies are read one after
// the other. release must be called once the body is no longer used. The error is
// ErrUnavailable if the memory budget has no room for the body.
func (c *Core) ReadBody(ctx context.Context, body io.Reader, limit int64) (data []byte, release func(), err error) {
	started := time.Now()
	t := c.uploads.begin(ctx)
	defer t.end()
	data, release, err = c.budget.memory.ReadBody(t.reader(body), limit)
	if errors.Is(err, proxy.ErrMemoryInUse) {
		c.counters.Add("bodies_refused_by_budget", 1)
		err = errors.Mark(err, ErrUnavailable)
	}
	if t.bytes >= turnFreeBytes {
		c.logger.Info("large body received", zap.Int("bytes", t.bytes), zap.Duration("took", time.Since(started)), zap.Error(err))
	}
	return data, release, err
}

// WriteDocument writes a document to an operator. Large documents are written one after
// the other.
func (c *Core) WriteDocument(ctx context.Context, w io.Writer, document RawDocument) error {
	t := c.downloads.begin(ctx)
	defer t.end()
	return t.writeAll(w, document.Raw)
}
