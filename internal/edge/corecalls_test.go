package edge

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	followv1 "github.com/cuminwing/cuminwing/proto/follow/v1"
)

const (
	// slowCallTime is how long a call to the path /slow lasts.
	slowCallTime = 1500 * time.Millisecond
	// rolesTime is the time after the signal at which a member of a sound core has given up
	// its roles.
	rolesTime = 700 * time.Millisecond
)

// slowControl answers the path /slow after slowCallTime, and other calls at once.
func slowControl(*Core) http.Handler {
	return http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			time.Sleep(slowCallTime)
		}
	})
}

// startStoppableCore starts a core of three members and returns its leader.
func startStoppableCore(t *testing.T) (*deployment, *runningCore) {
	t.Helper()
	d := newDeploymentWith(t, 3, func(c *runningCore) { c.control = slowControl })
	leader, _ := d.leader()
	return d, leader
}

// stopBeside stops a member while a slow call is in progress, and returns once the member
// has given up its roles.
func (d *deployment) stopBeside(c *runningCore) {
	d.t.Helper()
	slow := dialMember(d.t, c.settings.ControlAddress)
	startCall(d.t, slow, "/slow")
	time.Sleep(100 * time.Millisecond)
	stopped := make(chan struct{})
	d.t.Cleanup(func() { <-stopped })
	go func() {
		defer close(stopped)
		d.stopCore(c)
	}()
	time.Sleep(rolesTime)
}

func dialMember(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	return conn
}

func startCall(t *testing.T, conn net.Conn, path string) {
	t.Helper()
	if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: core\r\n\r\n", path); err != nil {
		t.Fatal(err)
	}
}

// readCall reads the response to a call.
func readCall(t *testing.T, conn net.Conn) *http.Response {
	t.Helper()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("the call got no answer: %v", err)
	}
	_, _ = io.Copy(io.Discard, response.Body)
	return response
}

// Guards against a call of an operator or a target that a member reads completely while it
// stops and drops without an answer.
func TestCallThatIsReadWhileAMemberStopsIsAnswered(t *testing.T) {
	t.Parallel()
	d, leader := startStoppableCore(t)
	conn := dialMember(t, leader.settings.ControlAddress)
	fmt.Fprint(conn, "GET / HTTP/1.1\r\n")
	d.stopBeside(leader)
	fmt.Fprint(conn, "Host: core\r\n\r\n")
	if response := readCall(t, conn); response.StatusCode != http.StatusOK || !response.Close {
		t.Errorf("response %+v, want 200 with Connection: close", response)
	}
}

// Guards against a kept connection that a stopping member closes while a target may send
// its next heartbeat.
func TestKeptConnectionOfATargetIsServedWhileAMemberStops(t *testing.T) {
	t.Parallel()
	d, leader := startStoppableCore(t)
	conn := dialMember(t, leader.settings.ControlAddress)
	startCall(t, conn, "/")
	if response := readCall(t, conn); response.Close {
		t.Fatal("the connection ends before the stop")
	}
	d.stopBeside(leader)
	startCall(t, conn, "/")
	if response := readCall(t, conn); response.StatusCode != http.StatusOK || !response.Close {
		t.Errorf("response %+v, want 200 with Connection: close", response)
	}
}

// Guards against a call in progress whose connection a member keeps open, so that it has to
// close it under the next call.
func TestResponseWhileAMemberStopsEndsItsConnection(t *testing.T) {
	t.Parallel()
	d, leader := startStoppableCore(t)
	conn := dialMember(t, leader.settings.ControlAddress)
	startCall(t, conn, "/slow")
	d.stopBeside(leader)
	if response := readCall(t, conn); response.StatusCode != http.StatusOK || !response.Close {
		t.Errorf("response %+v, want 200 with Connection: close", response)
	}
}

// Guards against a call that is cut without an answer because it lasts longer than the
// member.
func TestCallsAreAnsweredBeforeTheEndOfAStop(t *testing.T) {
	t.Parallel()
	const gracePeriod = time.Second
	d := newDeploymentWith(t, 3, func(c *runningCore) {
		c.settings.Guarantees.GracePeriod = gracePeriod
		c.control = func(core *Core) http.Handler {
			return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if _, err := core.Document(r.Context()); err != nil {
					w.WriteHeader(http.StatusServiceUnavailable)
				}
			})
		}
	})
	leader, followers := d.leader()
	d.stopCore(followers[0])
	d.stopCore(followers[1])
	conn := dialMember(t, leader.settings.ControlAddress)
	startCall(t, conn, "/")
	time.Sleep(20 * time.Millisecond)
	started := time.Now()
	d.stopCore(leader)
	if took := time.Since(started); took > gracePeriod/2+200*time.Millisecond {
		t.Errorf("the stop took %v, want %v at most", took, gracePeriod/2)
	}
	if response := readCall(t, conn); response.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("response %+v, want 503", response)
	}
}

// Guards against fronts that wait for the answer to their poll until the member that they
// follow is gone.
func TestHeldPollEndsWhenAMemberStops(t *testing.T) {
	t.Parallel()
	d, leader := startStoppableCore(t)
	ctx := context.Background()
	client := followv1.NewFollowServiceProtobufClient("http://"+leader.settings.selfPeerAddress(), peerClient(discardMeter(), trafficCore))
	eventually(t, "poll", func() error {
		response, err := client.Follow(ctx, &followv1.FollowRequest{Report: reportOf("f"), NoWait: true})
		if err == nil && !response.GetServed() {
			err = errNotServed
		}
		return err
	})
	type answer struct {
		at       time.Time
		response *followv1.FollowResponse
		err      error
	}
	answers := make(chan answer, 1)
	go func() {
		response, err := client.Follow(ctx, &followv1.FollowRequest{Report: reportOf("f")})
		answers <- answer{time.Now(), response, err}
	}()
	time.Sleep(50 * time.Millisecond)
	stopped := time.Now()
	d.stopCore(leader)
	got := <-answers
	if got.err != nil || got.response.GetServed() || len(got.response.GetCore()) != 3 {
		t.Errorf("response %v, error %v; want the members of the core", got.response, got.err)
	}
	if took := got.at.Sub(stopped); took > 200*time.Millisecond {
		t.Errorf("the poll was held for %v after the signal", took)
	}
}

// Guards against a proposal that the leader has accepted, and that may be committed later,
// but is reported as refused, and against one that no leader has accepted and is reported
// as uncertain.
func TestProposalThatMayBeAcceptedIsUncertain(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, 3)
	leader, followers := d.leader()
	var stops sync.WaitGroup
	for _, f := range followers {
		stops.Go(func() { d.stopCore(f) })
	}
	stops.Wait()
	ctx := context.Background()
	if err := leader.core.PutDocument(ctx, documentWithKey(1, "k1")); !errors.Is(err, ErrUncertain) {
		t.Errorf("proposal to a leader without a quorum: %v, want ErrUncertain", err)
	}
	eventually(t, "loss of the leadership", func() error {
		if leader.core.leaderAddress() != "" {
			return errors.New("there is still a leader")
		}
		return nil
	})
	if err := leader.core.PutDocument(ctx, documentWithKey(2, "k1")); !errors.Is(err, ErrUnavailable) || errors.Is(err, ErrUncertain) {
		t.Errorf("proposal without a leader: %v, want ErrUnavailable alone", err)
	}
}

// Guards against a connection that a member closes while a peer may send its first call. A
// client that gets another connection first keeps the one that it has opened for later.
func TestUnusedConnectionIsKeptLongerThanByItsClient(t *testing.T) {
	t.Parallel()
	d := newDeploymentWith(t, 1, func(c *runningCore) { c.control = slowControl })
	s := d.cores[0].settings
	conns := []net.Conn{dialMember(t, s.selfPeerAddress()), dialMember(t, s.ControlAddress)}
	time.Sleep(coreHeaderTimeout + 500*time.Millisecond)
	for _, conn := range conns {
		startCall(t, conn, MetricsPath)
		if response := readCall(t, conn); response.StatusCode != http.StatusOK {
			t.Errorf("response %+v, want 200", response)
		}
	}
	transport := peerClient(discardMeter(), trafficCore).Transport.(bodyLimiter).Transport
	if transport.IdleConnTimeout <= 0 || transport.IdleConnTimeout >= coreIdleTimeout {
		t.Errorf("peers keep idle connections for %v, the server for %v", transport.IdleConnTimeout, coreIdleTimeout)
	}
}
