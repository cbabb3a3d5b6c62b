package daemon

import (
	"context"

	"github.com/cuminwing/cuminwing/internal/control"
	"github.com/cuminwing/cuminwing/internal/serving"
)

// The types in this file stand where a duty is not wired yet.

// noClaims refuses every at-most-once request, which is true to its promise.
type noClaims struct{}

func (noClaims) Claim(context.Context, serving.Claim) (serving.ClaimStatus, serving.StoredAnswer) {
	return serving.ClaimUnreachable, serving.StoredAnswer{}
}

func (noClaims) Complete(context.Context, serving.Claim, serving.StoredAnswer) error {
	return control.ErrNotCommitted
}

func (noClaims) Release(context.Context, serving.Claim) error { return control.ErrNotCommitted }

type alwaysRetry struct{}

func (alwaysRetry) Allow(string, string) bool { return true }

func (alwaysRetry) Finished(string, string) {}

type discardLedger struct{}

func (discardLedger) Record(serving.UsageRecord) {}
