// Package retry limits the cost of failing targets: budgets for extra attempts,
// circuit breakers with a slow start, and detection of slow outliers. The
// package does no I/O.
package retry

import "sync"

const (
	// refillPerSuccess is what each successful request adds to a budget, and so
	// the share of extra attempts in steady state. The requirement is under
	// 10%.
	refillPerSuccess = 0.08
	// initialBudget allows a VM that has just started to resume the streams of
	// one engine.
	initialBudget = 10
	// maxBudget limits the extra attempts at the start of an outage. It covers
	// the streams of one workspace on one engine.
	maxBudget = 32
)

type budgetKey struct{ workspace, group string }

// Budgets limits extra attempts per workspace and target group. It implements
// serving.RetryPolicy and is safe for concurrent use. Only successful
// requests refill a budget, so in a full outage it is used up and stays empty.
type Budgets struct {
	mu        sync.Mutex
	remaining map[budgetKey]float64
}

// NewBudgets returns budgets that start at initialBudget.
func NewBudgets() *Budgets { return &Budgets{remaining: make(map[budgetKey]float64)} }

// Allow implements serving.RetryPolicy.
func (b *Budgets) Allow(workspace, group string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	key := budgetKey{workspace, group}
	left := b.remainingOf(key)
	if left < 1 {
		return false
	}
	b.remaining[key] = left - 1
	return true
}

// RecordSuccess implements serving.RetryPolicy.
func (b *Budgets) RecordSuccess(workspace, group string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	key := budgetKey{workspace, group}
	b.remaining[key] = min(b.remainingOf(key)+refillPerSuccess, maxBudget)
}

func (b *Budgets) remainingOf(key budgetKey) float64 {
	if left, ok := b.remaining[key]; ok {
		return left
	}
	return initialBudget
}
