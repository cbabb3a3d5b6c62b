package daemon

import (
	"context"
	"time"

	"github.com/cuminwing/cuminwing/internal/config"
	"github.com/cuminwing/cuminwing/internal/serving"
)

// The types in this file stand where a duty is not wired yet.

type unlimited struct{}

func (unlimited) Admit(context.Context, *config.Snapshot, string, int64, time.Duration) (serving.Reservation, *serving.Refusal) {
	return unlimited{}, nil
}

func (unlimited) Settle(int64) {}

type unordered struct{}

func (unordered) Acquire(context.Context, serving.QueueRequest) (func(int, int), *serving.Refusal) {
	return func(int, int) {}, nil
}

type discardLedger struct{}

func (discardLedger) Record(serving.UsageRecord) {}

type discardObserver struct{}

func (discardObserver) Observe(serving.Sample) {}
