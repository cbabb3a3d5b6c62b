package daemon

import (
	"bufio"
	"context"
	"crypto/tls"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cuminwing/cuminwing/internal/settings"
	"github.com/cuminwing/cuminwing/internal/standin"
)

const (
	// busyTokens is the length of the response that keeps a VM busy, and busyDelay the time
	// before each token until the test lets the response end.
	busyTokens = 150
	busyDelay  = 100 * time.Millisecond
	// keptTime and lateTime are times after the signal. The first is after the lame duck
	// period, and at the second a VM accepts no connection any more.
	keptTime = 1500 * time.Millisecond
	lateTime = 3500 * time.Millisecond
)

// stoppingVM is a VM whose callers use TLS if tls is set.
type stoppingVM struct {
	*testVM
	tls    bool
	engine *standin.Engine
}

func startStoppingVM(t *testing.T, withTLS bool) *stoppingVM {
	t.Helper()
	s := settings.Settings{VM: "vm-1", Zone: "muc-a", Region: "oberbayern", DataFolder: t.TempDir()}
	for _, a := range []*string{&s.CallerAddress, &s.TargetAddress, &s.PeerAddress, &s.GossipAddress, &s.AdminAddress} {
		*a = testAddress(t)
	}
	s.InitialVoters = map[string]string{s.VM: s.PeerAddress}
	if withTLS {
		files := writeCertificate(t, t.TempDir(), "vm")
		s.CallerTLS = &files
	}
	document := testDocument()
	// A stall of the machine must not end the response that keeps the VM busy.
	grade := document.Routes["grade"]
	grade.FirstTokenTimeoutMS, grade.TokenGapTimeoutMS = grade.TimeoutMS, grade.TimeoutMS
	document.Routes["grade"] = grade
	node, err := Start(s, Options{Document: &document})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(node.Close)
	vm := &stoppingVM{testVM: &testVM{node, "http://" + s.CallerAddress}, tls: withTLS}
	vm.engine = startEngine(t, "e1", false, vm.testVM)
	return vm
}

// forEachTransport runs a test with a VM whose callers use no TLS, and with one whose
// callers use it.
func forEachTransport(t *testing.T, test func(*testing.T, *stoppingVM)) {
	for _, withTLS := range []bool{false, true} {
		t.Run(fmt.Sprintf("tls=%t", withTLS), func(t *testing.T) {
			t.Parallel()
			test(t, startStoppingVM(t, withTLS))
		})
	}
}

// dial opens a connection of a caller that offers one application protocol.
func (vm *stoppingVM) dial(t *testing.T, protocol string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", vm.settings.CallerAddress)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(awaitTimeout))
	if !vm.tls {
		return conn
	}
	tlsConn := tls.Client(conn, &tls.Config{InsecureSkipVerify: true, NextProtos: []string{protocol}})
	if err := tlsConn.Handshake(); err != nil {
		t.Fatal(err)
	}
	return tlsConn
}

// stop stops the VM in the background.
func (vm *stoppingVM) stop(t *testing.T) {
	done := make(chan struct{})
	t.Cleanup(func() { <-done })
	go func() {
		defer close(done)
		ctx, cancel := context.WithTimeout(context.Background(), awaitTimeout)
		defer cancel()
		if err := vm.Shutdown(ctx); err != nil {
			t.Errorf("the stop was cut short: %v", err)
		}
	}()
}

// stopBeside stops the VM beside a long response and returns the connection of its caller.
// The response ends soon after endResponse, or the end of the test.
func (vm *stoppingVM) stopBeside(t *testing.T) *bufio.Reader {
	t.Helper()
	vm.engine.SetFaults(standin.EngineFaults{TokenDelay: busyDelay})
	conn := vm.dial(t, "http/1.1")
	body := chatBody("dossier", busyTokens, true)
	fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: vm\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", testKey, len(body), body)
	reader := bufio.NewReader(conn)
	if _, err := reader.Peek(1); err != nil {
		t.Fatal(err)
	}
	vm.stop(t)
	t.Cleanup(vm.endResponse)
	return reader
}

func (vm *stoppingVM) endResponse() { vm.engine.SetFaults(standin.EngineFaults{}) }

const (
	modelsStart = "GET /v1/models HTTP/1.1\r\n"
	modelsEnd   = "Host: vm\r\nAuthorization: Bearer " + testKey + "\r\n\r\n"
)

// readModels reads a response. last is whether it has to be the last on its connection.
func readModels(t *testing.T, conn net.Conn, last bool) {
	t.Helper()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Errorf("the request got no answer: %v", err)
		return
	}
	_, _ = io.Copy(io.Discard, response.Body)
	if response.StatusCode != http.StatusOK || response.Close != last {
		t.Errorf("status %d, last %t; want 200, %t", response.StatusCode, response.Close, last)
	}
}

// Guards against a request that a stopping VM reads completely and drops without an answer.
func TestRequestThatIsReadWhileAVMStopsIsAnswered(t *testing.T) {
	forEachTransport(t, func(t *testing.T, vm *stoppingVM) {
		conn := vm.dial(t, "http/1.1")
		fmt.Fprint(conn, modelsStart)
		vm.stopBeside(t)
		time.Sleep(lateTime)
		fmt.Fprint(conn, modelsEnd)
		readModels(t, conn, true)
	})
}

// Guards against a kept connection that a busy VM closes while its caller may send the next
// request.
func TestKeptConnectionIsServedWhileAVMStops(t *testing.T) {
	forEachTransport(t, func(t *testing.T, vm *stoppingVM) {
		conn := vm.dial(t, "http/1.1")
		fmt.Fprint(conn, modelsStart+modelsEnd)
		readModels(t, conn, false)
		vm.stopBeside(t)
		time.Sleep(keptTime)
		fmt.Fprint(conn, modelsStart+modelsEnd)
		readModels(t, conn, true)
	})
}

// Guards against a stop that cuts a long response over HTTP/1, or does not end.
func TestLongResponseIsCompleteAtTheEndOfAStop(t *testing.T) {
	forEachTransport(t, func(t *testing.T, vm *stoppingVM) {
		reader := vm.stopBeside(t)
		time.Sleep(lateTime)
		vm.endResponse()
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatal(err)
		}
		if got := readResponse(response, nil); !got.complete() {
			t.Errorf("%d end markers, error %q", got.done, got.failed)
		}
	})
}

// goAwayFrame is the type of the HTTP/2 frame that ends a connection gracefully.
const goAwayFrame = 7

// Guards against an idle HTTP/2 connection that a stopping VM closes without telling its
// caller which requests it has not seen.
func TestIdleHTTP2ConnectionEndsWithGoAway(t *testing.T) {
	forEachTransport(t, func(t *testing.T, vm *stoppingVM) {
		conn := vm.dial(t, "h2")
		fmt.Fprint(conn, "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n")
		// An empty SETTINGS frame.
		_, _ = conn.Write([]byte{0, 0, 0, 4, 0, 0, 0, 0, 0})
		time.Sleep(200 * time.Millisecond)
		vm.stop(t)
		for {
			var header [9]byte
			if _, err := io.ReadFull(conn, header[:]); err != nil {
				t.Fatalf("the connection ended without GOAWAY: %v", err)
			}
			if header[3] == goAwayFrame {
				return
			}
			length := binary.BigEndian.Uint32(header[:4]) >> 8
			if _, err := io.CopyN(io.Discard, conn, int64(length)); err != nil {
				t.Fatal(err)
			}
		}
	})
}
