package edge

import (
	"context"
	"net"
	"os"
	"slices"
	"strconv"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/cuminwing/cuminwing/internal/adapter/boottime"
	"github.com/cuminwing/cuminwing/internal/placement"
	"github.com/cuminwing/cuminwing/internal/quarantine"
)

// Guards against engines that have left, or whose link is lost or resets connections, taken for engines that a
// request has crashed, and against a response that looks complete because its engine has
// crashed.
func TestWhatCountsAsACrash(t *testing.T) {
	refused := errors.New("connection refused")
	reset := error(&net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", syscall.ECONNRESET)})
	tests := []struct {
		name string
		// probes are the results of the probes of an engine; the last one stays.
		probes                   []error
		leaves                   bool
		wantCrashes              int
		wantResent, wantComplete bool
	}{
		{"reachable", []error{nil}, false, 0, false, true},
		{"crashed", []error{refused}, false, 2, true, false},
		{"left", []error{refused}, true, 0, false, false},
		{"crashed while it had connections to accept", []error{reset, refused}, false, 2, true, false},
		{"behind a link that resets connections", []error{reset}, false, 0, false, false},
		{"unresponsive", []error{os.ErrDeadlineExceeded}, false, 2, false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			probed := map[string]*atomic.Int64{"a": {}, "b": {}}
			q := newFrontQuarantine(func(_ context.Context, address string) error {
				n := int(probed[address].Add(1))
				return tt.probes[min(n, len(tt.probes))-1]
			}, zap.NewNop())
			q.leaves = func(string) bool { return tt.leaves }
			ended := quarantine.Request{Key: quarantine.RequestKey("ended")}
			for _, engine := range []string{"a", "b"} {
				target := placement.Target{ID: engine, Address: engine}
				q.RecordBroken(target, quarantine.Request{Key: quarantine.RequestKey("broken")}, boottime.Now())
				q.RecordEnded(target, ended, boottime.Now())
				time.Sleep(6 * crashGatherTime)
			}
			q.Confirm(quarantine.Report{}, false, []string{ended.Key})
			report := q.Report()
			if len(report.Crashes) != tt.wantCrashes {
				t.Fatalf("%d crashes are reported, want %d", len(report.Crashes), tt.wantCrashes)
			}
			if complete := len(report.Completions) == 1; complete != tt.wantComplete {
				t.Errorf("completions %v, want one: %v", report.Completions, tt.wantComplete)
			}
			for i, c := range report.Crashes {
				if len(c.Requests) != 2 || c.Requests[0].Resent != (tt.wantResent && i > 0) {
					t.Errorf("crash %d: requests %v, want two, sent again: %v", i, c.Requests, tt.wantResent)
				}
			}
		})
	}
}

// Guards against a fatal request that must crash three more engines after its release: a
// more frequent one was in all of its crashes at first.
func TestReleasedRequestIsQuarantinedAtItsNextCrash(t *testing.T) {
	e := newCrashEvidence(0, nil, quarantine.EvidenceRecord{})
	rare, frequent := quarantine.RequestKey("rare"), quarantine.RequestKey("frequent")
	crash := func(second int, keys ...string) {
		c := quarantine.Crash{Engine: strconv.Itoa(second), At: time.Duration(second) * time.Second}
		for _, key := range keys {
			c.Requests = append(c.Requests, quarantine.BrokenRequest{Key: key})
		}
		e.tracker.RecordCrash(c.At, c)
	}
	for second := range 3 {
		crash(second+1, rare, frequent)
	}
	crash(4, frequent)
	quarantined := []string{frequent, rare}
	if _, release := e.changes(5*time.Second, quarantined); !slices.Equal(release, []string{rare}) {
		t.Fatalf("released %q, want the request whose crashes the other one explains", release)
	}
	crash(6, rare)
	if add, _ := e.changes(7*time.Second, []string{frequent}); !slices.Equal(add, []string{rare}) {
		t.Errorf("quarantined %q after a further crash, want the released request", add)
	}
}

// Guards against the log line of a crash without the requests that were in it, or with all of very
// many.
func TestCrashNames(t *testing.T) {
	var requests []quarantine.SentRequest
	for i := range 2 * maxLoggedNames {
		r := quarantine.Request{Key: quarantine.RequestKey(strconv.Itoa(100 + i/2)), Parts: []string{"b", "a"}}
		requests = append(requests, quarantine.SentRequest{Request: r})
	}
	keys, parts := crashNames(append(requests, requests...))
	if len(keys) != maxLoggedNames || keys[1] != quarantine.RequestKey("101") || !slices.Equal(parts, []string{"a", "b"}) {
		t.Errorf("keys %q, parts %q, want the first %d keys and two parts", keys, parts, maxLoggedNames)
	}
}
