package daemon

import (
	"context"

	"github.com/cuminwing/cuminwing/internal/config"
	"github.com/cuminwing/cuminwing/internal/control"
	"github.com/cuminwing/cuminwing/internal/idempotency"
	"github.com/cuminwing/cuminwing/internal/pause"
	"github.com/cuminwing/cuminwing/internal/retry"
	"github.com/cuminwing/cuminwing/internal/servicepick"
	"github.com/cuminwing/cuminwing/internal/serving"
)

// targetPicker passes requests for models and for services to their respective
// pickers and reports the results of upstream attempts to health.
type targetPicker struct {
	engines  serving.Picker
	services serving.Picker
	health   *retry.Health
}

// newTargetPicker returns a picker for engines and service replicas.
func (n *Node) newTargetPicker(engines serving.Picker, health *retry.Health) serving.Picker {
	services := &servicepick.Picker{Registry: n.registry, Clock: n.clock, Zone: n.settings.Zone, Region: n.settings.Region, Health: health}
	return targetPicker{engines, services, health}
}

// Pick implements serving.Picker.
func (p targetPicker) Pick(ctx context.Context, req serving.PickRequest) (*serving.Pick, *serving.Refusal) {
	picker := p.engines
	if req.Call.Route.Kind == config.KindService {
		picker = p.services
	}
	pick, refusal := picker.Pick(ctx, req)
	if refusal != nil {
		return nil, refusal
	}
	p.health.Begin(pick.Target)
	wrapped := *pick
	wrapped.Done = func(result serving.AttemptResult) {
		p.health.End(pick.Target, result)
		pick.Done(result)
	}
	return &wrapped, nil
}

// startClaims registers the claims of at-most-once requests as a state machine
// and returns a client for them.
func (n *Node) startClaims() serving.ClaimStore {
	n.stateMachines[control.KindClaims] = idempotency.NewStateMachine()
	return &idempotency.Client{
		Log:        func() control.Log { return n.log },
		Pause:      pause.For,
		Background: func(f func(context.Context)) { go f(n.ctx) },
	}
}
