// Package retry bounds what failing targets cost: budgets of extra attempts,
// circuit breakers with a slow return, and detection of slow outliers. The
// package does no I/O.
package retry

import "sync"

const (
	// extraPerFinished is the share of extra attempts in steady state. The
	// requirement is under 10%.
	extraPerFinished = 0.08
	// startBudget lets a VM that has just started resume the streams of an
	// engine.
	startBudget = 10
	// maxBudget bounds the extra attempts at the start of an outage. It
	// covers the streams of one workspace on one engine.
	maxBudget = 32
)

type budgetKey struct{ workspace, group string }

// Budgets limits extra attempts per workspace and target group. It implements
// serving.RetryPolicy and is safe for concurrent use. Only finished requests
// refill a budget, so that in a full outage it runs dry and stays dry.
type Budgets struct {
	mu   sync.Mutex
	left map[budgetKey]float64
}

// NewBudgets returns full starting budgets.
func NewBudgets() *Budgets { return &Budgets{left: make(map[budgetKey]float64)} }

// Allow implements serving.RetryPolicy.
func (b *Budgets) Allow(workspace, group string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	key := budgetKey{workspace, group}
	left := b.get(key)
	if left < 1 {
		return false
	}
	b.left[key] = left - 1
	return true
}

// Finished implements serving.RetryPolicy.
func (b *Budgets) Finished(workspace, group string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	key := budgetKey{workspace, group}
	b.left[key] = min(b.get(key)+extraPerFinished, maxBudget)
}

func (b *Budgets) get(key budgetKey) float64 {
	if left, ok := b.left[key]; ok {
		return left
	}
	return startBudget
}
