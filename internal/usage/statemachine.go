package usage

import (
	"fmt"
	"sort"
	"time"

	"google.golang.org/protobuf/proto"

	usagev1 "github.com/cuminwing/cuminwing/proto/usage/v1"
)

// These are the responses of StateMachine to a batch or a malformed command.
const (
	responseCounted   = "counted"
	responseMalformed = "malformed"
)

// These are the retention periods of totals. With 1,900 workspaces that use two
// models each, 3 days of hourly totals and 62 days of daily totals are about
// 500,000.
const (
	hoursPerDay          = 24
	hourlyRetentionHours = 3 * hoursPerDay
	dailyRetentionHours  = 62 * hoursPerDay
	// senderRetention is how long the last sequence of an incarnation is kept
	// after its last batch. No batch is in flight for that long.
	senderRetention = 24 * time.Hour
)

// senderKey identifies an incarnation of a VM that sends batches.
type senderKey struct {
	vm          string
	incarnation uint64
}

type sender struct {
	lastSequence uint64
	lastBatchMs  int64
}

// StateMachine is the replicated state of usage totals. It implements
// control.StateMachine.
type StateMachine struct {
	totals         map[totalKey]*counts
	senders        map[senderKey]sender
	lastCompaction int64
}

// NewStateMachine returns an empty state.
func NewStateMachine() *StateMachine {
	return &StateMachine{totals: make(map[totalKey]*counts), senders: make(map[senderKey]sender)}
}

// Apply implements control.StateMachine.
func (m *StateMachine) Apply(_ uint64, now time.Time, body []byte) []byte {
	var c usagev1.Command
	if err := proto.Unmarshal(body, &c); err != nil {
		return []byte(responseMalformed)
	}
	m.compact(now)
	switch k := c.GetKind().(type) {
	case *usagev1.Command_Batch:
		m.applyBatch(now, k.Batch)
		return []byte(responseCounted)
	case *usagev1.Command_Query:
		return m.query(k.Query)
	}
	return []byte(responseMalformed)
}

// applyBatch adds a batch unless this or a later batch of the same incarnation
// has been counted. A VM sends a batch only after the previous one is
// acknowledged, so no batch is skipped.
func (m *StateMachine) applyBatch(now time.Time, b *usagev1.Batch) {
	from := senderKey{b.GetVm(), b.GetIncarnation()}
	if b.GetSequence() <= m.senders[from].lastSequence {
		return
	}
	m.senders[from] = sender{b.GetSequence(), now.UnixMilli()}
	for _, t := range b.GetTotals() {
		m.add(fromTotal(t))
	}
}

func (m *StateMachine) add(k totalKey, s counts) {
	held, ok := m.totals[k]
	if !ok {
		held = new(counts)
		m.totals[k] = held
	}
	held.add(s)
}

// compact merges old hourly totals into daily ones, and drops old daily totals
// and senders. It runs at most once per hour.
func (m *StateMachine) compact(now time.Time) {
	hour := now.Unix() / secondsPerHour
	if hour <= m.lastCompaction {
		return
	}
	m.lastCompaction = hour
	for k, s := range m.totals {
		switch {
		case k.hour < hour-dailyRetentionHours:
			delete(m.totals, k)
		case k.hours == 1 && k.hour < hour-hourlyRetentionHours:
			delete(m.totals, k)
			m.add(totalKey{k.workspace, k.model, k.hour - k.hour%hoursPerDay, hoursPerDay}, *s)
		}
	}
	for from, s := range m.senders {
		if now.Sub(time.UnixMilli(s.lastBatchMs)) > senderRetention {
			delete(m.senders, from)
		}
	}
}

func (m *StateMachine) query(q *usagev1.Query) []byte {
	out := &usagev1.Totals{}
	for _, k := range sortedKeys(m.totals) {
		late := q.GetToHour() != 0 && k.hour >= q.GetToHour()
		if k.hour+int64(k.hours) <= q.GetFromHour() || late {
			continue
		}
		if q.GetWorkspace() == "" || q.GetWorkspace() == k.workspace {
			out.Totals = append(out.Totals, toTotal(k, *m.totals[k]))
		}
	}
	data, err := proto.Marshal(out)
	if err != nil {
		return nil
	}
	return data
}

// Snapshot implements control.StateMachine.
func (m *StateMachine) Snapshot() ([]byte, error) {
	s := &usagev1.Snapshot{MergedHour: m.lastCompaction}
	for _, k := range sortedKeys(m.totals) {
		s.Totals = append(s.Totals, toTotal(k, *m.totals[k]))
	}
	for from, last := range m.senders {
		s.Senders = append(s.Senders, &usagev1.Sender{
			Vm: from.vm, Incarnation: from.incarnation, Sequence: last.lastSequence, TimeMs: last.lastBatchMs,
		})
	}
	sort.Slice(s.Senders, func(i, j int) bool {
		a, b := s.Senders[i], s.Senders[j]
		if a.GetVm() != b.GetVm() {
			return a.GetVm() < b.GetVm()
		}
		return a.GetIncarnation() < b.GetIncarnation()
	})
	return proto.MarshalOptions{Deterministic: true}.Marshal(s)
}

// Restore implements control.StateMachine.
func (m *StateMachine) Restore(data []byte) error {
	var s usagev1.Snapshot
	if err := proto.Unmarshal(data, &s); err != nil {
		return fmt.Errorf("decode usage snapshot: %w", err)
	}
	restored := NewStateMachine()
	restored.lastCompaction = s.GetMergedHour()
	for _, t := range s.GetTotals() {
		restored.add(fromTotal(t))
	}
	for _, from := range s.GetSenders() {
		restored.senders[senderKey{from.GetVm(), from.GetIncarnation()}] = sender{from.GetSequence(), from.GetTimeMs()}
	}
	*m = *restored
	return nil
}
