package usage

import (
	"context"
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/cuminwing/cuminwing/internal/control"
	"github.com/cuminwing/cuminwing/internal/serving"
	usagev1 "github.com/cuminwing/cuminwing/proto/usage/v1"
)

// stubLog applies commands to one state machine. fault decides whether the next
// command or its response is lost.
type stubLog struct {
	control.Log
	stateMachine *StateMachine
	now          time.Time
	fault        func() (lost, unanswered bool)
	// committed holds the bodies of committed commands, some of which are
	// applied once more, as after a resend that overtook its predecessor.
	committed [][]byte
}

func (l *stubLog) Propose(_ context.Context, _ control.Kind, body []byte) ([]byte, error) {
	lost, unanswered := l.fault()
	if lost {
		return nil, control.ErrNotCommitted
	}
	l.committed = append(l.committed, body)
	response := l.stateMachine.Apply(1, l.now, body)
	if unanswered {
		return nil, control.ErrUncertain
	}
	return response, nil
}

func (l *stubLog) total() counts {
	var all counts
	for _, s := range l.stateMachine.totals {
		all.add(*s)
	}
	return all
}

// Guards against usage that is counted twice or lost when batches or responses
// are lost, resent or repeated late, or when the state is restored from a
// snapshot.
func TestUsageCountsExactlyOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		log := &stubLog{stateMachine: NewStateMachine(), now: time.Unix(1_700_000_000, 0)}
		clock := func() time.Time { return log.now }
		ledgers := []*Ledger{NewLedger("vm-1", 1, clock), NewLedger("vm-2", 1, clock)}
		log.fault = func() (bool, bool) {
			f := rapid.IntRange(0, 3).Draw(rt, "fault")
			return f == 1, f == 2
		}
		var want counts
		for range rapid.IntRange(1, 30).Draw(rt, "steps") {
			l := ledgers[rapid.IntRange(0, 1).Draw(rt, "ledger")]
			switch rapid.IntRange(0, 4).Draw(rt, "step") {
			case 0, 1:
				l.Record(serving.UsageRecord{Workspace: "yards", Model: "m", PromptTokens: 3, CompletionTokens: 2})
				want.add(counts{1, 3, 2, 0})
			case 2:
				_ = l.Flush(context.Background(), log)
			case 3:
				if n := len(log.committed); n > 0 {
					log.stateMachine.Apply(1, log.now, log.committed[rapid.IntRange(0, n-1).Draw(rt, "repeat")])
				}
			case 4:
				restoreFromSnapshot(rt, log)
				log.now = log.now.Add(20 * time.Minute)
			}
		}
		log.fault = func() (bool, bool) { return false, false }
		for _, l := range ledgers {
			if err := l.Flush(context.Background(), log); err != nil {
				rt.Fatal(err)
			}
		}
		if got := log.total(); got != want {
			rt.Fatalf("total usage %+v, want %+v", got, want)
		}
	})
}

func restoreFromSnapshot(rt *rapid.T, log *stubLog) {
	data, err := log.stateMachine.Snapshot()
	if err != nil {
		rt.Fatal(err)
	}
	log.stateMachine = NewStateMachine()
	if err := log.stateMachine.Restore(data); err != nil {
		rt.Fatal(err)
	}
}

// Guards against unlimited memory use, and against lost usage, while the
// control log is unreachable for many hours.
func TestPendingUsageIsBoundedWithoutLog(t *testing.T) {
	log := &stubLog{stateMachine: NewStateMachine(), now: time.Unix(1_700_000_000, 0)}
	l := NewLedger("vm-1", 1, func() time.Time { return log.now })
	var want counts
	for hour := range 100 {
		log.now = time.Unix(1_700_000_000+int64(hour)*3600, 0)
		for w := range 1000 {
			l.Record(serving.UsageRecord{Workspace: fmt.Sprint(w), Model: "m", CompletionTokens: 1})
			want.add(counts{1, 0, 1, 0})
		}
	}
	if n := len(l.pending); n > maxPendingTotals {
		t.Fatalf("%d totals are pending, want at most maxPendingTotals", n)
	}
	log.fault = func() (bool, bool) { return false, false }
	if err := l.Flush(context.Background(), log); err != nil {
		t.Fatal(err)
	}
	if got := log.total(); got != want {
		t.Fatalf("total usage %+v, want %+v", got, want)
	}
}

// Guards against totals that change when old hours are merged into days, and
// against a state that grows without limit.
func TestOldHoursBecomeDays(t *testing.T) {
	m := NewStateMachine()
	start := time.Unix(1_700_000_000, 0)
	for hour := range 200 {
		now := start.Add(time.Duration(hour) * time.Hour)
		total := toTotal(totalKey{"w", "m", now.Unix() / secondsPerHour, 1}, counts{1, 1, 1, 1})
		m.applyBatch(now, &usagev1.Batch{Vm: "vm-1", Incarnation: 1, Sequence: uint64(hour + 1), Totals: []*usagev1.Total{total}})
		m.compact(now)
	}
	var got usagev1.Totals
	if err := proto.Unmarshal(m.query(&usagev1.Query{Workspace: "w"}), &got); err != nil {
		t.Fatal(err)
	}
	var requests uint64
	for _, total := range got.GetTotals() {
		requests += total.GetRequests()
	}
	if requests != 200 || len(got.GetTotals()) > hourlyRetentionHours+10 {
		t.Fatalf("%d requests in %d totals, want 200 requests", requests, len(got.GetTotals()))
	}
	m.compact(start.Add(100 * 24 * time.Hour))
	if len(m.totals) != 0 || len(m.senders) != 0 {
		t.Fatalf("%d totals and %d senders are left after 100 days", len(m.totals), len(m.senders))
	}
}

// BenchmarkApplyBatch measures one batch of 1,000 totals.
func BenchmarkApplyBatch(b *testing.B) {
	m := NewStateMachine()
	batch := &usagev1.Batch{Vm: "vm-1", Incarnation: 1}
	for w := range maxBatchTotals {
		batch.Totals = append(batch.Totals, toTotal(totalKey{fmt.Sprint("workspace-", w), "gutachter", 472222, 1}, counts{5, 20000, 900, 3}))
	}
	now := time.Unix(1_700_000_000, 0)
	for b.Loop() {
		batch.Sequence++
		body, err := proto.Marshal(&usagev1.Command{Kind: &usagev1.Command_Batch{Batch: batch}})
		if err != nil {
			b.Fatal(err)
		}
		m.Apply(1, now, body)
		b.ReportMetric(float64(len(body)), "B/batch")
	}
}

// BenchmarkRecord measures the recording of one request while it is served.
func BenchmarkRecord(b *testing.B) {
	l := NewLedger("vm-1", 1, time.Now)
	b.ReportAllocs()
	for b.Loop() {
		l.Record(serving.UsageRecord{Workspace: "yards", Model: "gutachter", PromptTokens: 20000, CompletionTokens: 300})
	}
}
