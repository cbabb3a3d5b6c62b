package edge

import (
	"context"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/cuminwing/cuminwing/internal/adapter/boottime"
	"github.com/cuminwing/cuminwing/internal/pause"
	"github.com/cuminwing/cuminwing/internal/placement"
	"github.com/cuminwing/cuminwing/internal/proxy"
	"github.com/cuminwing/cuminwing/internal/quarantine"
	followv1 "github.com/cuminwing/cuminwing/proto/follow/v1"
)

// crashGatherTime is how long the requests that break off at an engine are gathered
// before the engine is probed.
const crashGatherTime = 30 * time.Millisecond

// frontQuarantine implements proxy.Quarantine. A request that breaks off says that its
// engine has crashed only if the engine cannot be reached afterwards.
type frontQuarantine struct {
	*quarantine.Observer
	// probe returns an error if a target cannot be reached.
	probe  func(ctx context.Context, address string) error
	logger *zap.Logger
	// ctx is done when the process stops.
	ctx context.Context

	mu sync.Mutex
	// broken maps the IDs of engines at which requests broke off to the parts of
	// these requests, until the engine is probed.
	broken map[string]map[string]bool
}

var _ proxy.Quarantine = (*frontQuarantine)(nil)

func newFrontQuarantine(probe func(context.Context, string) error, logger *zap.Logger) *frontQuarantine {
	return &frontQuarantine{
		Observer: quarantine.NewObserver(boottime.Now), probe: probe, logger: logger, ctx: context.Background(),
		broken: make(map[string]map[string]bool),
	}
}

// RecordBroken implements proxy.Quarantine.
func (q *frontQuarantine) RecordBroken(t placement.Target, parts []string) {
	if len(parts) == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	set, pending := q.broken[t.ID]
	if !pending {
		set = make(map[string]bool)
		q.broken[t.ID] = set
		at := boottime.Now()
		go q.verifyCrash(t, at)
	}
	for _, part := range parts {
		set[part] = true
	}
}

// verifyCrash records a crash if the target cannot be reached.
func (q *frontQuarantine) verifyCrash(t placement.Target, at time.Duration) {
	pause.For(q.ctx, crashGatherTime)
	err := q.probe(q.ctx, t.Address)
	q.mu.Lock()
	set := q.broken[t.ID]
	delete(q.broken, t.ID)
	q.mu.Unlock()
	if err == nil || q.ctx.Err() != nil {
		return
	}
	crash := quarantine.Crash{Engine: t.ID + "/" + strconv.FormatInt(t.Started, 10), At: at}
	for part := range set {
		crash.Parts = append(crash.Parts, part)
	}
	q.logger.Info("engine crashed while it served requests", zap.String("target", t.ID), zap.Int("parts", len(crash.Parts)), zap.Error(err))
	q.RecordCrash(crash)
}

// encodeEvidence adds the evidence of a front to its report.
func encodeEvidence(report *followv1.FrontReport, r quarantine.Report, now time.Duration) {
	for _, c := range r.Crashes {
		report.Crashes = append(report.Crashes, &followv1.EngineCrash{Engine: c.Engine, AgeMs: milliseconds(now - c.At), Parts: c.Parts})
	}
	for _, c := range r.Completions {
		report.Completions = append(report.Completions, &followv1.PartCompletion{Part: c.Part, AgeMs: milliseconds(now - c.At)})
	}
}
