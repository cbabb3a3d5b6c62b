package proxy

import (
	"testing"
	"time"

	"github.com/cuminwing/cuminwing/internal/gatewayconfig"
	"github.com/cuminwing/cuminwing/internal/placement"
)

// delayingPlacer is a Placer whose choices are to be sent later.
type delayingPlacer struct {
	Placer
	delay time.Duration
}

func (p *delayingPlacer) Choose(req placement.Request) (*placement.Choice, int) {
	choice, total := p.Placer.Choose(req)
	if choice != nil {
		choice.SendDelay = p.delay
	}
	return choice, total
}

// Guards against a request that is sent before the target has the parts of its prompt.
func TestRequestIsSentAfterTheDelayOfItsChoice(t *testing.T) {
	const delay = 100 * time.Millisecond
	target := newTarget(t, respondOK("ran"))
	f := newFront(t, gatewayconfig.Route{Kind: gatewayconfig.RunOnce}, target)
	f.handler.Placer = &delayingPlacer{f.handler.Placer, delay}
	started := time.Now()
	if resp, _, err := f.call(t, "r1", "POST", "b"); err != nil || resp.StatusCode != 200 {
		t.Fatalf("response %v, error %v; want 200", resp, err)
	}
	if took := time.Since(started); took < delay {
		t.Errorf("the response came after %v, although the request was to be sent after %v", took, delay)
	}
}
