package proxy

import (
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/cuminwing/cuminwing/internal/gatewayconfig"
	"github.com/cuminwing/cuminwing/internal/overload"
	"github.com/cuminwing/cuminwing/internal/placement"
)

// estimator is a Placer whose choices have a given estimate.
type estimator struct {
	Placer
	expected time.Duration
	certain  bool
}

func (e *estimator) Choose(r placement.Request) (*placement.Choice, int) {
	accept := r.Accept
	r.Accept = func(c *placement.Choice) bool {
		c.Expected, c.Certain = e.expected, e.certain
		return accept == nil || accept(c)
	}
	return e.Placer.Choose(r)
}

// newBusyFront returns a front whose targets are expected to respond after the given time.
func newBusyFront(t *testing.T, route gatewayconfig.Route, expected time.Duration, certain bool, targets ...*scriptedTarget) *front {
	t.Helper()
	f := newFront(t, route, targets...)
	f.handler.Placer = &estimator{f.handler.Placer, expected, certain}
	f.handler.Overload = overload.New(time.Now, func() float64 { return 0.5 })
	return f
}

var impatientStream = gatewayconfig.Route{
	Kind: gatewayconfig.RunStream, Resumable: true, MaxAttempts: 2, Objective: 300 * time.Millisecond, Patience: time.Second,
}

// Guards against a stream that is sent although its caller will have left before it begins,
// and against a refusal that does not tell the reason or when to return.
func TestStreamThatCannotBeginInTimeIsRefusedAtOnce(t *testing.T) {
	target := newTarget(t, streamResponse(true, eventText(1)))
	f := newBusyFront(t, impatientStream, 1200*time.Millisecond, true, target)
	logCore, logs := observer.New(zap.InfoLevel)
	f.handler.Logger = zap.New(logCore)
	resp, body, err := f.call(t, "r1", "POST", "b")
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable || !strings.Contains(body, `"overloaded"`) {
		t.Fatalf("response %v %q, error %v; want 503 overloaded", resp, body, err)
	}
	after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	if err != nil || after <= 0 || after > 0.5 {
		t.Errorf("Retry-After is %q, want at most a third of 1.5 s", resp.Header.Get("Retry-After"))
	}
	if n := len(target.requests()); n != 0 {
		t.Errorf("the target got %d requests", n)
	}
	lines := logs.FilterField(zap.String("outcome", "overloaded")).All()
	if len(lines) != 1 {
		t.Fatalf("%d log lines, want 1", len(lines))
	}
	fields := lines[0].ContextMap()
	if fields["refused_for"] != "beyond_patience" || fields["target"] != "t0" || fields["first_expected"] != 1200*time.Millisecond || fields["first_limit"] == nil {
		t.Errorf("the log line has %v", fields)
	}
}

// Guards against refusals because of an estimate that nothing supports, and of requests whose
// callers wait until the deadline.
func TestRequestThatMayBeginInTimeIsSent(t *testing.T) {
	once := gatewayconfig.Route{Kind: gatewayconfig.RunOnce, Objective: 300 * time.Millisecond}
	for name, c := range map[string]struct {
		route   gatewayconfig.Route
		certain bool
	}{"uncertain": {impatientStream, false}, "no stream": {once, true}} {
		t.Run(name, func(t *testing.T) {
			answer := respondOK("fine")
			if c.route.Kind == gatewayconfig.RunStream {
				answer = streamResponse(true, eventText(1))
			}
			f := newBusyFront(t, c.route, 1200*time.Millisecond, c.certain, newTarget(t, answer))
			if resp, _, err := f.call(t, "r1", "POST", "b"); err != nil || resp.StatusCode != http.StatusOK {
				t.Errorf("response %v, error %v; want 200", resp, err)
			}
		})
	}
}
