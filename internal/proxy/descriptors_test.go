package proxy

import (
	"net/http"
	"testing"

	"github.com/cuminwing/cuminwing/internal/gatewayconfig"
)

// descriptors is a targetconn.Descriptors that has descriptors or none.
type descriptors struct{ free bool }

func (d *descriptors) Acquire() bool { return d.free }
func (d *descriptors) Release()      {}

// Guards against a VM without descriptors that takes its targets for unreachable, or tries one
// after the other.
func TestRequestWithoutADescriptorIsRefused(t *testing.T) {
	target := newTarget(t, respondOK("fine"))
	f := newFront(t, gatewayconfig.Route{Kind: gatewayconfig.RunOnce}, target)
	limit := &descriptors{}
	f.handler.Pool.Descriptors = limit
	resp, body, err := f.call(t, "r1", "POST", "x")
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" {
		t.Errorf("got response %v with body %q, error %v; want 503 and when to retry", resp, body, err)
	}
	limit.free = true
	if resp, body, err := f.call(t, "r2", "POST", "x"); err != nil || resp.StatusCode != http.StatusOK || body != "fine" {
		t.Errorf("with descriptors: got response %v with body %q, error %v", resp, body, err)
	}
}
