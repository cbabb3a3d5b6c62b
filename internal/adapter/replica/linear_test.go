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

// lossy loses some requests before and some answers after they were handled.
type lossy struct {
	next *http.Transport
	on   atomic.Bool
}

var errLost = errors.New("lost by the test")

func (l *lossy) RoundTrip(r *http.Request) (*http.Response, error) {
	if !l.on.Load() {
		return l.next.RoundTrip(r)
	}
	chance := rand.IntN(100)
	if chance < 5 {
		return nil, errLost
	}
	response, err := l.next.RoundTrip(r)
	if err == nil && chance < 15 && strings.Contains(r.URL.Path, "Propose") {
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		return nil, errLost
	}
	return response, err
}

// operation is one call of a client.
type operation struct {
	value         uint64
	start, end    time.Time
	before, index uint64
	err           error
}

// Guards against proposals that take effect twice, after they were reported
// as not committed, outside the time of their call, or with an answer of
// another state, over a leader crash, a transfer, and lost answers.
func TestLinearizable(t *testing.T) {
	const clients, calls = 6, 40
	c := newCluster(t, 3)
	propose(t, c.vms[0], 1)
	c.faults.on.Store(true)
	var wg sync.WaitGroup
	var finished atomic.Int64
	results := make([][]operation, clients)
	for i := range clients {
		wg.Go(func() {
			for j := range calls {
				value := uint64(2 + i*calls + j)
				results[i] = append(results[i], callOnce(c.vms[i%3].log, value))
				finished.Add(1)
			}
		})
	}
	waitFor(&finished, clients*calls/3)
	crashed := c.leader(c.vms...)
	crashed.replica.post(func() { crashed.broken.Store(true) })
	waitFor(&finished, clients*calls*2/3)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	_ = c.leader(c.others(crashed)...).replica.Transfer(ctx)
	cancel()
	wg.Wait()
	c.faults.on.Store(false)
	propose(t, c.others(crashed)[0], 1<<40)
	checkHistory(t, slices.Concat(results...), c.others(crashed)[0].state.values())
}

func waitFor(counter *atomic.Int64, count int64) {
	for counter.Load() < count {
		time.Sleep(time.Millisecond)
	}
}

func callOnce(log *Log, value uint64) operation {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	o := operation{value: value, start: time.Now()}
	answer, err := log.Propose(ctx, control.KindClaims, protowire.AppendVarint(nil, value))
	o.end, o.err = time.Now(), err
	if err == nil {
		o.before, answer = number(answer)
		o.index, _ = number(answer)
	}
	return o
}

// checkHistory verifies that the order of the log explains every answer.
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
		case o.err == nil && (!applied || history[at-1] != o.before):
			t.Fatalf("command %d was answered with %d, which the log does not explain", o.value, o.before)
		case errors.Is(o.err, control.ErrNotCommitted) && applied:
			t.Fatalf("command %d took effect after %v", o.value, o.err)
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
