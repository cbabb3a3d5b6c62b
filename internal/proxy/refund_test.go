package proxy

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cuminwing/cuminwing/internal/gatewayconfig"
)

// refundRecorder is a Quota that records the charge and the refunds of one request.
type refundRecorder struct {
	charged, refundedFrom, refundedAt time.Duration
	chargedTokens, refundedTokens     float64
	refunds                           int
}

func (q *refundRecorder) Admit(now time.Duration, _ string, _, _, tokens float64) (time.Duration, bool) {
	q.charged, q.chargedTokens = now, tokens
	return 0, true
}

func (q *refundRecorder) Refund(now, charged time.Duration, _ string, tokens float64) {
	q.refunds++
	q.refundedAt, q.refundedFrom, q.refundedTokens = now, charged, tokens
}

// Guards against a refund that does not name the time of its charge, and would count in
// another part of the window of the quota.
func TestRefundNamesTheTimeOfTheCharge(t *testing.T) {
	target := newTarget(t, respond("503 Service Unavailable", "Not-Run: 1\r\n", ""))
	f := newFront(t, gatewayconfig.Route{Kind: gatewayconfig.RunOnce}, target)
	document := *f.state.Table.Document
	document.Workspaces = []gatewayconfig.Workspace{{Name: "w", Keys: []string{"key"}, Rate: 1, Burst: 1}}
	f.setState(State{Table: gatewayconfig.Compile(&document), FrontCount: 1, Confirmed: time.Hour})
	var clock atomic.Int64
	f.handler.BootClock = func() time.Duration { return time.Duration(clock.Add(1)) * time.Second }
	quota := &refundRecorder{}
	f.handler.Quota = quota
	resp, _, err := f.call(t, "r1", "POST", "b")
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable {
		t.Fatalf("response %v, error %v; want 503", resp, err)
	}
	if quota.refunds != 1 || quota.refundedFrom != quota.charged || quota.refundedAt <= quota.charged || quota.refundedTokens != quota.chargedTokens {
		t.Errorf("got %+v, want one refund of the charge", *quota)
	}
}
