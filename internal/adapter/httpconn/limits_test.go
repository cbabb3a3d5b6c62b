package httpconn

import (
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// Guards against a connection that keeps a lower limit than the one in force, because the
// limit was raised while the connection was accepted.
func TestLimitRaisedDuringAnAcceptApplies(t *testing.T) {
	const before, after = time.Minute, time.Hour
	var crossed atomic.Int64
	var limit atomic.Int64
	limit.Store(int64(before))
	tracker := newTestTracker(Limits{}, &crossed)
	var change sync.WaitGroup
	tracker.Limits = func() Limits {
		limits := Limits{Header: time.Duration(limit.Load())}
		if limit.CompareAndSwap(int64(before), int64(after)) {
			change.Go(tracker.LimitsChanged)
			time.Sleep(50 * time.Millisecond)
		}
		return limits
	}
	c, _ := pair(t, tracker)
	change.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.limit != after {
		t.Errorf("the limit is %v, want %v", c.limit, after)
	}
}

// readOne reads once, and returns what was read, or an error if it takes too long.
func readOne(c net.Conn) (string, error) {
	type result struct {
		data string
		err  error
	}
	done := make(chan result, 1)
	go func() {
		buffer := make([]byte, 64)
		n, err := c.Read(buffer)
		done <- result{string(buffer[:n]), err}
	}()
	select {
	case r := <-done:
		return r.data, r.err
	case <-time.After(time.Second):
		return "", errors.New("the read goes on")
	}
}

// Guards against a connection that stays open for ever: the server clears the read deadline
// before it reads, which would take back the end of the wait.
func TestEndOfAWaitOutlivesTheDeadlineOfTheServer(t *testing.T) {
	var crossed atomic.Int64
	c, _ := pair(t, newTestTracker(Limits{Header: 50 * time.Millisecond}, &crossed))
	time.Sleep(100 * time.Millisecond)
	_ = c.SetReadDeadline(time.Time{})
	if _, err := readOne(c); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the read ends with error %v, want %v", err, os.ErrDeadlineExceeded)
	}
}

// Guards against a request that has arrived completely and is dropped at the time limit of
// its headers, because the process was held up and read only a part before.
func TestHeadersThatHaveArrivedAreReadAtTheirLimit(t *testing.T) {
	const limit = 100 * time.Millisecond
	var crossed atomic.Int64
	c, client := pair(t, newTestTracker(Limits{Header: limit}, &crossed))
	for _, part := range []string{"GET / HTTP/1.1\r\n", "Host: a.example\r\n\r\n"} {
		if _, err := io.WriteString(client, part); err != nil {
			t.Fatal(err)
		}
		if part == "GET / HTTP/1.1\r\n" {
			if data, err := readOne(c); data != part {
				t.Fatalf("read %q, error %v", data, err)
			}
		}
	}
	time.Sleep(2 * limit)
	if data, err := readOne(c); data != "Host: a.example\r\n\r\n" {
		t.Errorf("read %q, error %v; want the rest of the headers", data, err)
	}
	if _, err := readOne(c); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("after the headers that have arrived: error %v, want %v", err, os.ErrDeadlineExceeded)
	}
}
