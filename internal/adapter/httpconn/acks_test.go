package httpconn

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/cuminwing/cuminwing/internal/adapter/sockopt"
	"github.com/cuminwing/cuminwing/internal/loopback"
)

const (
	testAckTimeout = 3 * time.Second
	// largeResponse exceeds the buffers of both ends of a connection.
	largeResponse = 16 << 20
)

// watchedPair returns a tracked connection whose acknowledgements are watched, its
// client's end, and the number of connections closed because they are missing.
func watchedPair(t *testing.T) (*conn, *net.TCPConn, *atomic.Int64) {
	t.Helper()
	closed := new(atomic.Int64)
	tracker := &Tracker{
		Limits: func() Limits { return Limits{} }, Logger: zap.NewNop(), AckTimeout: testAckTimeout,
		Count: func(name string) {
			if name == "connections_closed_by_ack_timeout" {
				closed.Add(1)
			}
		},
	}
	c, client := pair(t, tracker)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go tracker.WatchAcks(ctx)
	return c, client.(*net.TCPConn), closed
}

// writeAsync writes size bytes and returns the channel of the result.
func writeAsync(c *conn, size int) <-chan error {
	result := make(chan error, 1)
	go func() {
		_, err := c.Write(make([]byte, size))
		result <- err
	}()
	return result
}

// Guards against clients that are cut off and keep their connections, with the engines that
// work for them.
func TestClientThatIsCutOffLosesItsConnection(t *testing.T) {
	for name, run := range map[string]struct {
		size int
		// cutAfter is the time from the start of the write, during which the client reads if
		// reads is set, to the cut.
		cutAfter time.Duration
		reads    bool
		// limit is the time from the cut to the end.
		limit time.Duration
	}{
		"before a short response": {size: 100, limit: testAckTimeout + 2*ackCheckInterval},
		"while it reads":          {size: 8 * largeResponse, cutAfter: 200 * time.Millisecond, reads: true, limit: testAckTimeout + 2*ackCheckInterval},
		// Two probes are due within three times the time for which the window was closed.
		"while its window is closed": {size: largeResponse, cutAfter: time.Second, limit: 3*time.Second + testAckTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c, client, closed := watchedPair(t)
			var written <-chan error
			if run.cutAfter > 0 {
				written = writeAsync(c, run.size)
			}
			// A read after the cut would send acknowledgements.
			if run.reads {
				readUntil(client, time.Now().Add(run.cutAfter), 256<<10, time.Millisecond)
			} else {
				time.Sleep(run.cutAfter)
			}
			if err := loopback.CutOff(client); err != nil {
				t.Fatal(err)
			}
			cut := time.Now()
			if written == nil {
				written = writeAsync(c, run.size)
			}
			_, err := c.Read(make([]byte, 1))
			took := time.Since(cut)
			if err == nil || took < testAckTimeout-ackCheckInterval || took > run.limit {
				t.Errorf("the connection ends after %v with error %v, want about %v", took, err, testAckTimeout)
			}
			if err := <-written; (err == nil) != (run.size == 100) {
				t.Errorf("the write ends with error %v", err)
			}
			_ = c.Close()
			if closed.Load() != 1 {
				t.Errorf("%d connections are counted as closed, want 1", closed.Load())
			}
		})
	}
}

// readUntil reads up to size bytes at a time, with a pause after each read, until a time or
// an error.
func readUntil(client net.Conn, end time.Time, size int, pause time.Duration) {
	for buffer := make([]byte, size); time.Now().Before(end); time.Sleep(pause) {
		if _, err := client.Read(buffer); err != nil {
			return
		}
	}
}

// Guards against clients that lose their connections because they read slowly, or not at all
// for a while: the kernel counts a closed window as missing acknowledgements, also if it
// opens a little from time to time.
func TestClientThatReadsSlowlyKeepsItsConnection(t *testing.T) {
	const slowTime = 8 * time.Second
	for name, read := range map[string]func(net.Conn){
		"nothing": func(net.Conn) { time.Sleep(slowTime) },
		"a little at a time": func(client net.Conn) {
			readUntil(client, time.Now().Add(slowTime), 16<<10, 300*time.Millisecond)
		},
		"with long pauses": func(client net.Conn) {
			readUntil(client, time.Now().Add(slowTime), 256<<10, 2*time.Second)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c, client, _ := watchedPair(t)
			_ = client.SetDeadline(time.Now().Add(4 * slowTime))
			written := writeAsync(c, largeResponse)
			read(client)
			go readUntil(client, time.Now().Add(slowTime), 1<<20, 0)
			if err := <-written; err != nil {
				t.Errorf("the write ends with %v", err)
			}
		})
	}
}

// Guards against a response whose end is lost because its client pauses after the server
// has closed the connection.
func TestClientThatPausesGetsTheEndOfAClosedConnection(t *testing.T) {
	t.Parallel()
	const size = 1 << 20
	c, client, _ := watchedPair(t)
	_ = client.SetDeadline(time.Now().Add(20 * time.Second))
	if err := <-writeAsync(c, size); err != nil {
		t.Fatal(err)
	}
	_ = c.Close()
	time.Sleep(testAckTimeout * 5 / 3)
	total := 0
	for buffer := make([]byte, 1<<20); ; {
		n, err := client.Read(buffer)
		total += n
		if err != nil {
			break
		}
	}
	if total != size {
		t.Errorf("read %d bytes of %d", total, size)
	}
}

// Guards against wrong conclusions from the figures of the kernel, for cases that do not
// arise on a loopback interface at will.
func TestMissingAcknowledgementsAreMeasured(t *testing.T) {
	const step = ackCheckInterval
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	for name, c := range map[string]struct {
		// state returns the state at a time after the start.
		state func(at time.Duration) sockopt.SendState
		// want is the time after the start at which the limit is reached; 0 if never.
		want time.Duration
	}{
		"idle": {state: func(time.Duration) sockopt.SendState { return sockopt.SendState{} }},
		"data flows on a long path": {state: func(time.Duration) sockopt.SendState {
			return sockopt.SendState{SegmentsInFlight: 10, UnsentBytes: 1000, SinceAck: ms(40), SinceSend: ms(4)}
		}},
		"data and retransmissions remain unanswered": {state: func(at time.Duration) sockopt.SendState {
			return sockopt.SendState{SegmentsInFlight: 1, SinceAck: time.Hour + at, SinceSend: at % ms(1500)}
		}, want: testAckTimeout},
		"a closed window is acknowledged at each retransmission, of which the intervals are long": {state: func(at time.Duration) sockopt.SendState {
			return sockopt.SendState{SegmentsInFlight: 1, SinceAck: at % (20 * time.Second), SinceSend: at % (20 * time.Second)}
		}},
		"probes are answered, of which the intervals are long": {state: func(at time.Duration) sockopt.SendState {
			return sockopt.SendState{UnsentBytes: 1000, SinceAck: at % (20 * time.Second), SinceSend: at}
		}},
		"one lost probe, the next one is answered after 20 s": {state: func(at time.Duration) sockopt.SendState {
			if at < 20*time.Second {
				return sockopt.SendState{UnsentBytes: 1000, Probes: 1, SinceAck: at + ms(10000), SinceSend: at + time.Minute}
			}
			return sockopt.SendState{UnsentBytes: 1000, SinceAck: at - 20*time.Second, SinceSend: at + time.Minute}
		}},
		"two probes at an interval of 20 s remain unanswered": {state: func(at time.Duration) sockopt.SendState {
			return sockopt.SendState{UnsentBytes: 1000, Probes: 1 + uint8(at/(20*time.Second)), SinceAck: at + ms(10000), SinceSend: at + time.Minute}
		}, want: 20 * time.Second},
	} {
		var watch ackWatch
		reached := time.Duration(0)
		start := time.Now()
		for at := step; at < time.Minute && reached == 0; at += step {
			if watch.missingFor(c.state(at), start.Add(at)) >= testAckTimeout {
				reached = at
			}
		}
		if reached != c.want {
			t.Errorf("%s: the limit is reached after %v, want %v", name, reached, c.want)
		}
	}
}
