package httpconn

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// Guards against a front that closes its listener, and so resets the connections that wait
// there, because it was held up and has accepted none for a while.
func TestListenerStaysOpenUntilConnectionsHaveCeased(t *testing.T) {
	tracker := &Tracker{}
	accepted := make(chan time.Time, 1)
	time.AfterFunc(quietAcceptTime/2, func() {
		accepted <- time.Now()
		tracker.accepted.Add(1)
	})
	tracker.AwaitQuiet(context.Background(), time.Now())
	if quiet := time.Since(<-accepted); quiet < quietAcceptTime {
		t.Errorf("the listener closes %v after the last connection, want %v at least", quiet, quietAcceptTime)
	}
}

// Guards against a listener that closes while callers are still sent to it, or stays open
// after the time for it.
func TestListenerStaysOpenForTheDrainDelay(t *testing.T) {
	started := time.Now()
	(&Tracker{}).AwaitQuiet(context.Background(), started.Add(2*quietAcceptTime))
	if open := time.Since(started); open < 2*quietAcceptTime {
		t.Errorf("the listener closes after %v, want %v at least", open, 2*quietAcceptTime)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	started = time.Now()
	(&Tracker{}).AwaitQuiet(ctx, started.Add(time.Hour))
	if open := time.Since(started); open > time.Second {
		t.Errorf("the listener stays open for %v after the time for it", open)
	}
}

// serveIdle starts a server with a tracker, and returns its listener and a connection that
// waits for its first request.
func serveIdle(t *testing.T, tracker *Tracker) (net.Listener, net.Conn) {
	t.Helper()
	return serveIdleOn(t, tracker, func(l net.Listener) net.Listener { return l })
}

// serveIdleOn is serveIdle with a listener that wrap returns.
func serveIdleOn(t *testing.T, tracker *Tracker, wrap func(net.Listener) net.Listener) (net.Listener, net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{ConnState: tracker.ConnState, Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
	t.Cleanup(func() { _ = server.Close() })
	go func() { _ = server.Serve(tracker.Listen(wrap(listener))) }()
	client, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = client.Close() })
	for tracker.accepted.Load() == 0 {
		time.Sleep(drainPollInterval)
	}
	return listener, client
}

// Guards against idle connections that are cut at the deadline, also under a request that
// has arrived, because new connections have not ceased to arrive until then.
func TestIdleConnectionsEndInTimeAlthoughConnectionsStillArrive(t *testing.T) {
	const untilDeadline = 2 * time.Second
	var crossed atomic.Int64
	tracker := newTestTracker(Limits{Header: time.Minute}, &crossed)
	listener, client := serveIdle(t, tracker)
	stopped := time.Now()
	ctx, cancel := context.WithDeadline(context.Background(), stopped.Add(untilDeadline))
	defer cancel()
	go func() {
		for ctx.Err() == nil {
			tracker.accepted.Add(1)
			time.Sleep(quietAcceptTime / 4)
		}
	}()
	if err := tracker.Drain(ctx, listener, stopped, stopped.Add(untilDeadline/2)); err != nil {
		t.Errorf("Drain ends after %v with connections open: %v", time.Since(stopped), err)
	}
	if open := time.Since(stopped); open < untilDeadline/2 {
		t.Errorf("the listener closes after %v, although connections arrive", open)
	}
	_ = client.SetReadDeadline(time.Now().Add(time.Second))
	if _, err := client.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("the idle client reads error %v, want the end", err)
	}
}

// lateListener returns a connection that it accepted before its close only after that, as
// for a goroutine that is held up.
type lateListener struct {
	net.Listener
	accepted net.Conn
	closed   chan struct{}
	once     sync.Once
}

func (l *lateListener) Accept() (net.Conn, error) {
	<-l.closed
	if conn := l.accepted; conn != nil {
		l.accepted = nil
		time.Sleep(5 * drainPollInterval)
		return conn, nil
	}
	return nil, net.ErrClosed
}

func (l *lateListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// Guards against a request that is cut because its connection was accepted just before the
// listener was closed, and the drain ends before the server knows of it.
func TestConnectionAcceptedAtTheCloseIsServed(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	client, err := net.Dial("tcp", inner.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	accepted, err := inner.Accept()
	if err != nil {
		t.Fatal(err)
	}
	var crossed atomic.Int64
	tracker := newTestTracker(Limits{Header: time.Minute}, &crossed)
	listener := &lateListener{Listener: inner, accepted: accepted, closed: make(chan struct{})}
	server := &http.Server{ConnState: tracker.ConnState, Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
	tracked := tracker.Listen(listener)
	go func() { _ = server.Serve(tracked) }()
	if _, err := client.Write([]byte("GET / HTTP/1.1\r\nHost: a.example\r\n\r\n")); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if err := tracker.Drain(ctx, listener, time.Now(), time.Now().Add(time.Second)); err != nil {
		t.Errorf("Drain: %v", err)
	}
	_ = server.Close()
	_ = client.SetReadDeadline(time.Now().Add(time.Second))
	if response, err := http.ReadResponse(bufio.NewReader(client), nil); err != nil {
		t.Errorf("response %v, error %v; want an answer", response, err)
	}
}

// failingListener accepts one connection and then fails.
type failingListener struct {
	net.Listener
	accepted bool
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.accepted {
		return nil, errors.New("the listener has failed")
	}
	l.accepted = true
	return l.Listener.Accept()
}

// Guards against idle connections that stay open until the deadline and are cut then,
// because their listener failed before its close, which ends the accepts without a report.
func TestIdleConnectionsEndAlthoughTheListenerFailed(t *testing.T) {
	const untilDeadline = 3 * time.Second
	var crossed atomic.Int64
	tracker := newTestTracker(Limits{Header: time.Minute}, &crossed)
	listener, client := serveIdleOn(t, tracker, func(l net.Listener) net.Listener { return &failingListener{Listener: l} })
	stopped := time.Now()
	ctx, cancel := context.WithDeadline(context.Background(), stopped.Add(untilDeadline))
	defer cancel()
	drained := make(chan struct{})
	go func() {
		defer close(drained)
		_ = tracker.Drain(ctx, listener, stopped, stopped.Add(untilDeadline/2))
	}()
	_ = client.SetReadDeadline(stopped.Add(untilDeadline))
	_, err := client.Read(make([]byte, 1))
	if took := time.Since(stopped); !errors.Is(err, io.EOF) || took >= untilDeadline {
		t.Errorf("the idle client reads error %v after %v, want the end before %v", err, took, untilDeadline)
	}
	<-drained
}
