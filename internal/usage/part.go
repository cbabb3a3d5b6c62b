package usage

import (
	"fmt"
	"sort"
	"time"

	"google.golang.org/protobuf/proto"

	usagev1 "github.com/cuminwing/cuminwing/proto/usage/v1"
)

// Answers of the part to a batch.
const (
	answerCounted   = "counted"
	answerMalformed = "malformed"
)

// Periods for which totals are kept. At 1,900 workspaces with two models each
// the hours of 3 days and the days of 62 make about 500,000 totals.
const (
	hoursPerDay   = 24
	keepHours     = 3 * hoursPerDay
	keepDaysHours = 62 * hoursPerDay
	// keepSenders is how long the last sequence of an incarnation is
	// remembered after its last batch. No batch is in flight for so long.
	keepSenders = 24 * time.Hour
)

type senderKey struct {
	vm          string
	incarnation uint64
}

type sender struct {
	sequence uint64
	last     int64
}

// Part is the replicated state of billing. It implements control.Part.
type Part struct {
	totals  map[key]*sums
	senders map[senderKey]sender
	merged  int64
}

// NewPart returns an empty state.
func NewPart() *Part {
	return &Part{totals: make(map[key]*sums), senders: make(map[senderKey]sender)}
}

// Apply implements control.Part.
func (p *Part) Apply(_ uint64, now time.Time, body []byte) []byte {
	var c usagev1.Command
	if err := proto.Unmarshal(body, &c); err != nil {
		return []byte(answerMalformed)
	}
	p.compact(now)
	switch k := c.GetKind().(type) {
	case *usagev1.Command_Batch:
		p.count(now, k.Batch)
		return []byte(answerCounted)
	case *usagev1.Command_Query:
		return p.query(k.Query)
	}
	return []byte(answerMalformed)
}

// count adds a batch unless it, or a later one of the same incarnation, was
// counted before. A VM sends a batch only when the one before is
// acknowledged, so that no batch is missed.
func (p *Part) count(now time.Time, b *usagev1.Batch) {
	from := senderKey{b.GetVm(), b.GetIncarnation()}
	if b.GetSequence() <= p.senders[from].sequence {
		return
	}
	p.senders[from] = sender{b.GetSequence(), now.UnixMilli()}
	for _, t := range b.GetTotals() {
		p.add(fromTotal(t))
	}
}

func (p *Part) add(k key, s sums) {
	held, ok := p.totals[k]
	if !ok {
		held = new(sums)
		p.totals[k] = held
	}
	held.add(s)
}

// compact merges old hours into days, and drops old days and senders. It
// works once an hour.
func (p *Part) compact(now time.Time) {
	hour := now.Unix() / secondsPerHour
	if hour <= p.merged {
		return
	}
	p.merged = hour
	for k, s := range p.totals {
		switch {
		case k.hour < hour-keepDaysHours:
			delete(p.totals, k)
		case k.hours == 1 && k.hour < hour-keepHours:
			delete(p.totals, k)
			p.add(key{k.workspace, k.model, k.hour - k.hour%hoursPerDay, hoursPerDay}, *s)
		}
	}
	for from, s := range p.senders {
		if now.Sub(time.UnixMilli(s.last)) > keepSenders {
			delete(p.senders, from)
		}
	}
}

func (p *Part) query(q *usagev1.Query) []byte {
	out := &usagev1.Totals{}
	for _, k := range sortedKeys(p.totals) {
		late := q.GetToHour() != 0 && k.hour >= q.GetToHour()
		if k.hour+int64(k.hours) <= q.GetFromHour() || late {
			continue
		}
		if q.GetWorkspace() == "" || q.GetWorkspace() == k.workspace {
			out.Totals = append(out.Totals, toTotal(k, *p.totals[k]))
		}
	}
	data, err := proto.Marshal(out)
	if err != nil {
		return nil
	}
	return data
}

// Snapshot implements control.Part.
func (p *Part) Snapshot() ([]byte, error) {
	s := &usagev1.Snapshot{MergedHour: p.merged}
	for _, k := range sortedKeys(p.totals) {
		s.Totals = append(s.Totals, toTotal(k, *p.totals[k]))
	}
	for from, last := range p.senders {
		s.Senders = append(s.Senders, &usagev1.Sender{
			Vm: from.vm, Incarnation: from.incarnation, Sequence: last.sequence, TimeMs: last.last,
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

// Restore implements control.Part.
func (p *Part) Restore(data []byte) error {
	var s usagev1.Snapshot
	if err := proto.Unmarshal(data, &s); err != nil {
		return fmt.Errorf("decode usage snapshot: %w", err)
	}
	restored := NewPart()
	restored.merged = s.GetMergedHour()
	for _, t := range s.GetTotals() {
		restored.add(fromTotal(t))
	}
	for _, from := range s.GetSenders() {
		restored.senders[senderKey{from.GetVm(), from.GetIncarnation()}] = sender{from.GetSequence(), from.GetTimeMs()}
	}
	*p = *restored
	return nil
}
