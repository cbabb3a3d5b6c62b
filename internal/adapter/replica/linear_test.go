package replica

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"github.com/cuminwing/cuminwing/internal/control"
)

// lossyTransport drops some requests before they are sent, and some responses to
// Propose calls after the call was handled.
type lossyTransport struct {
	base    *http.Transport
	enabled atomic.Bool
}

var errInjectedLoss = errors.New("request or response dropped by the test")

func (l *lossyTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if !l.enabled.Load() {
		return l.base.RoundTrip(r)
	}
	chance := rand.IntN(100)
	if chance < 5 {
		return nil, errInjectedLoss
	}
	response, err := l.base.RoundTrip(r)
	if err == nil && chance < 15 && strings.Contains(r.URL.Path, "Propose") {
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		return nil, errInjectedLoss
	}
	return response, err
}

// operation is one Propose call by a client, with its result.
type operation struct {
	value           uint64
	start, end      time.Time
	previous, index uint64
	err             error
}

// Guards against violations of linearizability during a failed disk sync on the
// leader, a leadership transfer, and lost requests and responses. A proposal must
// not take effect twice, nor at all if it was reported as not committed, nor
// before the start or after the end of its call. Its response must match the
// state at its log index.
func TestLinearizable(t *testing.T) {
	const clients, calls = 6, 40
	c := newCluster(t, 3)
	propose(t, c.vms[0], 1)
	c.faults.enabled.Store(true)
	var wg sync.WaitGroup
	var finished atomic.Int64
	results := make([][]operation, clients)
	for i := range clients {
		wg.Go(func() {
			for j := range calls {
				value := uint64(2 + i*calls + j)
				results[i] = append(results[i], proposeOnce(c.vms[i%3].log, value))
				finished.Add(1)
			}
		})
	}
	waitForCount(&finished, clients*calls/3)
	failing := c.leader(c.vms...)
	failing.replica.enqueue(func() { failing.failSync.Store(true) })
	waitForCount(&finished, clients*calls*2/3)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	_ = c.leader(c.others(failing)...).replica.Transfer(ctx)
	cancel()
	wg.Wait()
	c.faults.enabled.Store(false)
	propose(t, c.others(failing)[0], 1<<40)
	checkHistory(t, slices.Concat(results...), c.others(failing)[0].state.values())
}

func waitForCount(counter *atomic.Int64, count int64) {
	for counter.Load() < count {
		time.Sleep(time.Millisecond)
	}
}

func proposeOnce(log *Log, value uint64) operation {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	o := operation{value: value, start: time.Now()}
	response, err := log.Propose(ctx, control.KindClaims, protowire.AppendVarint(nil, value))
	o.end, o.err = time.Now(), err
	if err == nil {
		o.previous, response = consumeNumber(response)
		o.index, _ = consumeNumber(response)
	}
	return o
}

// checkHistory checks that the results of all operations are consistent with the
// order of the log.
func checkHistory(t *testing.T, operations []operation, history []uint64) {
	t.Helper()
	position := make(map[uint64]int)
	for i, value := range history {
		if _, ok := position[value]; ok {
			t.Fatalf("command %d took effect twice", value)
		}
		position[value] = i
	}
	var done []operation
	uncertain := 0
	for _, o := range operations {
		at, applied := position[o.value]
		switch {
		case o.err == nil && (!applied || history[at-1] != o.previous):
			t.Fatalf("command %d returned previous value %d, which does not match the log", o.value, o.previous)
		case errors.Is(o.err, control.ErrNotCommitted) && applied:
			t.Fatalf("command %d took effect although its call returned %v", o.value, o.err)
		case o.err == nil:
			done = append(done, o)
		case errors.Is(o.err, control.ErrUncertain):
			uncertain++
		}
	}
	for _, a := range done {
		for _, b := range done {
			if a.end.Before(b.start) && (a.index >= b.index || position[a.value] >= position[b.value]) {
				t.Fatalf("command %d ended before %d started but is later in the log", a.value, b.value)
			}
		}
	}
	t.Logf("%d operations: %d done, %d uncertain", len(operations), len(done), uncertain)
}
