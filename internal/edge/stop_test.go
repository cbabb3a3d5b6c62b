package edge

import (
	"context"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/cuminwing/cuminwing/internal/fleet"
	"github.com/cuminwing/cuminwing/internal/gatewayconfig"
)

// Guards against a request that is accepted late by a stopping front, and is cut off at
// the end of the grace period because it takes longer than what is left of it.
func TestStoppingFrontRejectsRequestsThatItCannotFinish(t *testing.T) {
	d := newDeployment(t, 1)
	var document gatewayconfig.Document
	if err := json.Unmarshal(documentWithKey(1, "k"), &document); err != nil {
		t.Fatal(err)
	}
	document.Routes[0].Timeout = time.Minute
	raw, err := json.Marshal(&document)
	if err != nil {
		t.Fatal(err)
	}
	ctx := context.Background()
	eventually(t, "document", func() error { return d.cores[0].core.PutDocument(ctx, raw) })
	target := fleet.Target{ID: "t", Service: "s", Address: startSlowEchoTarget(t, 6*time.Second), Zone: "z", Started: 1}
	eventually(t, "target", func() error { return d.cores[0].core.Announce(ctx, target) })
	front, stop := d.startFront()
	eventually(t, "readiness", expectStatus(front, "other key", http.StatusUnauthorized))
	stop()
	results := make(chan int, 1)
	go func() {
		status, _ := sendRequestFor(front, "k", 20*time.Second)
		results <- status
	}()
	// The load balancer has taken the front out, but callers still connect.
	for started := time.Now(); time.Since(started) < drainDelay+300*time.Millisecond; time.Sleep(100 * time.Millisecond) {
		if _, err := sendRequest(front, "other key"); err != nil {
			t.Fatal(err)
		}
	}
	if status, err := sendRequestFor(front, "k", 20*time.Second); err != nil || status != http.StatusServiceUnavailable {
		t.Errorf("a late request got status %d, error %v; want 503", status, err)
	}
	if status := <-results; status != http.StatusOK {
		t.Errorf("a request before it got status %d, want 200", status)
	}
}
