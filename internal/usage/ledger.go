// Package usage bills requests: each VM adds up what it served and hands the
// sums to the control log in numbered batches, which count exactly once. The
// package does no I/O.
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
	// FlushInterval is how often a batch is sent. A crash loses what was not
	// sent, and at most 1 s of records may be lost.
	FlushInterval = 500 * time.Millisecond
	// maxBatchTotals bounds a batch to about 100 KB.
	maxBatchTotals = 1000
	// maxPendingTotals bounds the memory while the log is out of reach, to
	// about 5 MB. Beyond it, later hours are added to the last hour held of
	// the same workspace and model.
	maxPendingTotals = 20000
)

// key names one sum. Hours is the length of the period.
type key struct {
	workspace string
	model     string
	hour      int64
	hours     uint32
}

// sums are the counts of one key.
type sums struct {
	requests, prompt, completion, wasted uint64
}

func (s *sums) add(o sums) {
	s.requests += o.requests
	s.prompt += o.prompt
	s.completion += o.completion
	s.wasted += o.wasted
}

// Ledger counts the usage on one VM. It implements serving.Ledger and is safe
// for concurrent use.
type Ledger struct {
	vm          string
	incarnation uint64
	clock       serving.Clock

	mu      sync.Mutex
	pending map[key]*sums
	// newest holds the last hour pending per workspace and model.
	newest map[key]int64

	// send serializes Flush and guards the fields below.
	send     sync.Mutex
	sequence uint64
	// unacknowledged is the batch whose outcome is not known. It is resent
	// unchanged, because it may have been counted.
	unacknowledged []byte
}

// NewLedger returns an empty ledger of one incarnation of a VM.
func NewLedger(vm string, incarnation uint64, clock serving.Clock) *Ledger {
	return &Ledger{
		vm:          vm,
		incarnation: incarnation,
		clock:       clock,
		pending:     make(map[key]*sums),
		newest:      make(map[key]int64),
	}
}

// Record implements serving.Ledger.
func (l *Ledger) Record(u serving.UsageRecord) {
	s := sums{1, tokens(u.PromptTokens), tokens(u.CompletionTokens), tokens(u.WastedTokens)}
	if s.prompt+s.completion+s.wasted == 0 {
		return
	}
	hour := l.clock().Unix() / secondsPerHour
	l.mu.Lock()
	defer l.mu.Unlock()
	l.add(key{u.Workspace, u.Model, hour, 1}, s)
}

const secondsPerHour = 3600

// tokens guards the totals against a negative count from a target.
func tokens(n int) uint64 { return uint64(max(0, n)) }

func (l *Ledger) add(k key, s sums) {
	series := key{workspace: k.workspace, model: k.model}
	held, ok := l.pending[k]
	if !ok && len(l.pending) >= maxPendingTotals {
		if hour, known := l.newest[series]; known {
			k.hour = hour
			held = l.pending[k]
		}
	}
	if held == nil {
		held = new(sums)
		l.pending[k] = held
		l.newest[series] = k.hour
	}
	held.add(s)
}

// Flush sends what was counted, batch by batch, until nothing is left or a
// batch is not acknowledged.
func (l *Ledger) Flush(ctx context.Context, log control.Log) error {
	l.send.Lock()
	defer l.send.Unlock()
	for {
		if l.unacknowledged == nil && !l.seal() {
			return nil
		}
		answer, err := log.Propose(ctx, control.KindUsage, l.unacknowledged)
		if err != nil {
			return fmt.Errorf("send usage batch %d: %w", l.sequence, err)
		}
		if string(answer) != answerCounted {
			return fmt.Errorf("usage batch %d: control log answered %q", l.sequence, answer)
		}
		l.unacknowledged = nil
	}
}

// seal freezes a part of the pending sums as the next batch. It reports false
// if nothing is pending.
func (l *Ledger) seal() bool {
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
		series := key{workspace: k.workspace, model: k.model}
		if l.newest[series] == k.hour {
			delete(l.newest, series)
		}
	}
	body, err := proto.Marshal(&usagev1.Command{Kind: &usagev1.Command_Batch{Batch: batch}})
	if err != nil {
		panic(fmt.Sprintf("usage batch cannot be encoded: %v", err))
	}
	l.sequence++
	l.unacknowledged = body
	return true
}

func sortedKeys[V any](m map[key]V) []key {
	keys := make([]key, 0, len(m))
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

func toTotal(k key, s sums) *usagev1.Total {
	return &usagev1.Total{
		Workspace: k.workspace, Model: k.model, Hour: k.hour, Hours: k.hours, Requests: s.requests,
		PromptTokens: s.prompt, CompletionTokens: s.completion, WastedTokens: s.wasted,
	}
}

func fromTotal(t *usagev1.Total) (key, sums) {
	k := key{t.GetWorkspace(), t.GetModel(), t.GetHour(), max(1, t.GetHours())}
	return k, sums{t.GetRequests(), t.GetPromptTokens(), t.GetCompletionTokens(), t.GetWastedTokens()}
}
