// Package usage counts usage for billing. Each VM adds up what it served and
// sends the totals to the control log in numbered batches, each of which is
// counted exactly once. The package does no I/O.
package usage

import (
	"context"
	"fmt"
	"sort"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/cuminwing/cuminwing/internal/control"
	"github.com/cuminwing/cuminwing/internal/serving"
	usagev1 "github.com/cuminwing/cuminwing/proto/usage/v1"
)

const (
	// FlushInterval is how often batches are sent. A crash loses what has not
	// been sent, and at most 1 s of records may be lost.
	FlushInterval = 500 * time.Millisecond
	// maxBatchTotals limits a batch to about 100 KB.
	maxBatchTotals = 1000
	// maxPendingTotals limits the memory to about 5 MB while the control log is
	// unreachable. Beyond it, later hours are added to the last pending hour of
	// the same workspace and model.
	maxPendingTotals = 20000
)

// totalKey identifies one total. hour is the first hour of its period, counted
// from the Unix epoch, and hours is the length of the period.
type totalKey struct {
	workspace string
	model     string
	hour      int64
	hours     uint32
}

// counts is the usage counted for one totalKey.
type counts struct {
	requests, prompt, completion, wasted uint64
}

func (s *counts) add(o counts) {
	s.requests += o.requests
	s.prompt += o.prompt
	s.completion += o.completion
	s.wasted += o.wasted
}

// Ledger counts the usage on one VM. It implements serving.UsageRecorder and is
// safe for concurrent use.
type Ledger struct {
	vm          string
	incarnation uint64
	clock       serving.Clock

	mu      sync.Mutex
	pending map[totalKey]*counts
	// newestHour holds the last pending hour of each workspace and model. Its
	// keys have no period.
	newestHour map[totalKey]int64

	// flushMu serializes Flush and guards the fields below.
	flushMu  sync.Mutex
	sequence uint64
	// unacknowledgedBatch is the encoded batch whose outcome is unknown. It is
	// resent unchanged, because it may have been counted.
	unacknowledgedBatch []byte
}

// NewLedger returns an empty ledger for one incarnation of a VM.
func NewLedger(vm string, incarnation uint64, clock serving.Clock) *Ledger {
	return &Ledger{
		vm:          vm,
		incarnation: incarnation,
		clock:       clock,
		pending:     make(map[totalKey]*counts),
		newestHour:  make(map[totalKey]int64),
	}
}

// Record implements serving.UsageRecorder.
func (l *Ledger) Record(u serving.UsageRecord) {
	s := counts{1, nonNegative(u.PromptTokens), nonNegative(u.CompletionTokens), nonNegative(u.WastedTokens)}
	if s.prompt+s.completion+s.wasted == 0 {
		return
	}
	hour := l.clock().Unix() / secondsPerHour
	l.mu.Lock()
	defer l.mu.Unlock()
	l.add(totalKey{u.Workspace, u.Model, hour, 1}, s)
}

const secondsPerHour = 3600

// nonNegative protects the totals from a negative count reported by a target.
func nonNegative(n int) uint64 { return uint64(max(0, n)) }

func (l *Ledger) add(k totalKey, s counts) {
	series := totalKey{workspace: k.workspace, model: k.model}
	held, ok := l.pending[k]
	if !ok && len(l.pending) >= maxPendingTotals {
		if hour, known := l.newestHour[series]; known {
			k.hour = hour
			held = l.pending[k]
		}
	}
	if held == nil {
		held = new(counts)
		l.pending[k] = held
		l.newestHour[series] = k.hour
	}
	held.add(s)
}

// Flush sends the pending totals batch by batch, until none is left or a batch
// is not acknowledged.
func (l *Ledger) Flush(ctx context.Context, log control.Log) error {
	l.flushMu.Lock()
	defer l.flushMu.Unlock()
	for {
		if l.unacknowledgedBatch == nil && !l.sealBatch() {
			return nil
		}
		response, err := log.Propose(ctx, control.KindUsage, l.unacknowledgedBatch)
		if err != nil {
			return fmt.Errorf("send usage batch %d: %w", l.sequence, err)
		}
		if string(response) != responseCounted {
			return fmt.Errorf("send usage batch %d: unexpected answer %q from the control log", l.sequence, response)
		}
		l.unacknowledgedBatch = nil
	}
}

// sealBatch encodes a part of the pending totals as the next batch. It returns
// false if nothing is pending.
func (l *Ledger) sealBatch() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.pending) == 0 {
		return false
	}
	keys := sortedKeys(l.pending)
	batch := &usagev1.Batch{Vm: l.vm, Incarnation: l.incarnation, Sequence: l.sequence + 1}
	for _, k := range keys[:min(maxBatchTotals, len(keys))] {
		batch.Totals = append(batch.Totals, toTotal(k, *l.pending[k]))
		delete(l.pending, k)
		series := totalKey{workspace: k.workspace, model: k.model}
		if l.newestHour[series] == k.hour {
			delete(l.newestHour, series)
		}
	}
	body, err := proto.Marshal(&usagev1.Command{Kind: &usagev1.Command_Batch{Batch: batch}})
	if err != nil {
		panic(fmt.Sprintf("encode usage batch: %v", err))
	}
	l.sequence++
	l.unacknowledgedBatch = body
	return true
}

func sortedKeys[V any](m map[totalKey]V) []totalKey {
	keys := make([]totalKey, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Slice(keys, func(i, j int) bool {
		a, b := keys[i], keys[j]
		switch {
		case a.workspace != b.workspace:
			return a.workspace < b.workspace
		case a.model != b.model:
			return a.model < b.model
		case a.hour != b.hour:
			return a.hour < b.hour
		}
		return a.hours < b.hours
	})
	return keys
}

func toTotal(k totalKey, s counts) *usagev1.Total {
	return &usagev1.Total{
		Workspace: k.workspace, Model: k.model, Hour: k.hour, Hours: k.hours, Requests: s.requests,
		PromptTokens: s.prompt, CompletionTokens: s.completion, WastedTokens: s.wasted,
	}
}

func fromTotal(t *usagev1.Total) (totalKey, counts) {
	k := totalKey{t.GetWorkspace(), t.GetModel(), t.GetHour(), max(1, t.GetHours())}
	return k, counts{t.GetRequests(), t.GetPromptTokens(), t.GetCompletionTokens(), t.GetWastedTokens()}
}
