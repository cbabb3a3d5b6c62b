// Package idempotency keeps the records of at-most-once requests: the part of
// the replicated state that holds them, and the client that claims, completes
// and releases them over the control log. The package does no I/O.
package idempotency

import (
	"container/heap"
	"fmt"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/cuminwing/cuminwing/internal/control"
	claimsv1 "github.com/cuminwing/cuminwing/proto/claims/v1"
)

// maxStoredBytes bounds the bodies that a voter keeps. Beyond it the oldest
// are dropped, and their resends get status and hash only. 64 MiB is a quarter
// of the memory that the design allows a node for control.
const maxStoredBytes = 64 << 20

// recordBytes is the length of a record's name.
const recordBytes = 32

// Part is the control.Part of at-most-once requests. It is not safe for
// concurrent use; the goroutine that applies the log owns it.
type Part struct {
	maxStored int
	records   map[string]*claimsv1.Record
	expiry    expiryHeap
	// stored lists the records that may hold a body, oldest first.
	stored      []string
	storedBytes int
}

var _ control.Part = (*Part)(nil)

// NewPart returns an empty part.
func NewPart() *Part {
	return &Part{maxStored: maxStoredBytes, records: make(map[string]*claimsv1.Record)}
}

// Apply implements control.Part. The answer is an encoded Result; its outcome
// is unspecified if the command was malformed.
func (p *Part) Apply(index uint64, now time.Time, body []byte) []byte {
	p.expire(now)
	var command claimsv1.Command
	result := &claimsv1.Result{}
	if proto.Unmarshal(body, &command) == nil {
		result = p.execute(index, now, &command)
	}
	// Marshalling fails only on invalid UTF-8, which Unmarshal has refused.
	encoded, _ := proto.Marshal(result)
	return encoded
}

func (p *Part) execute(index uint64, now time.Time, command *claimsv1.Command) *claimsv1.Result {
	switch c := command.GetBody().(type) {
	case *claimsv1.Command_Claim:
		if len(c.Claim.GetRecord()) == recordBytes && c.Claim.GetRequestId() != "" {
			return p.claim(now, c.Claim)
		}
	case *claimsv1.Command_Complete:
		return p.complete(index, c.Complete)
	case *claimsv1.Command_Release:
		if len(c.Release.GetRecord()) == recordBytes && c.Release.GetRequestId() != "" {
			return p.release(now, c.Release)
		}
	}
	return &claimsv1.Result{}
}

func outcome(o claimsv1.Outcome) *claimsv1.Result { return &claimsv1.Result{Outcome: o} }

func (p *Part) claim(now time.Time, c *claimsv1.Claim) *claimsv1.Result {
	r, known := p.records[string(c.GetRecord())]
	if !known || r.GetState() == claimsv1.State_STATE_RELEASED && r.GetRequestId() != c.GetRequestId() {
		p.put(&claimsv1.Record{
			Record:        c.GetRecord(),
			BodyHash:      c.GetBodyHash(),
			RequestId:     c.GetRequestId(),
			State:         claimsv1.State_STATE_PENDING,
			ExpiresUnixMs: now.UnixMilli() + max(c.GetRetentionMs(), 0),
		})
		return outcome(claimsv1.Outcome_OUTCOME_GRANTED)
	}
	switch {
	case r.GetState() == claimsv1.State_STATE_RELEASED:
		// The request gave up; its claim was on the way for too long.
		return outcome(claimsv1.Outcome_OUTCOME_REFUSED)
	case string(r.GetBodyHash()) != string(c.GetBodyHash()):
		return outcome(claimsv1.Outcome_OUTCOME_MISMATCH)
	case r.GetState() == claimsv1.State_STATE_DONE:
		return &claimsv1.Result{Outcome: claimsv1.Outcome_OUTCOME_DONE, Answer: r.GetAnswer()}
	case r.GetRequestId() == c.GetRequestId():
		// The request asks again because the first answer was lost.
		return outcome(claimsv1.Outcome_OUTCOME_GRANTED)
	}
	return outcome(claimsv1.Outcome_OUTCOME_PENDING)
}

func (p *Part) complete(index uint64, c *claimsv1.Complete) *claimsv1.Result {
	r, known := p.records[string(c.GetRecord())]
	if !known || r.GetRequestId() != c.GetRequestId() || r.GetState() == claimsv1.State_STATE_RELEASED {
		return outcome(claimsv1.Outcome_OUTCOME_REFUSED)
	}
	if r.GetState() == claimsv1.State_STATE_PENDING {
		r.State = claimsv1.State_STATE_DONE
		r.Answer = c.GetAnswer()
		r.StoredAt = index
		p.stored = append(p.stored, string(c.GetRecord()))
		p.storedBytes += len(r.GetAnswer().GetBody())
		p.dropOldBodies()
	}
	return outcome(claimsv1.Outcome_OUTCOME_ACCEPTED)
}

// release also marks records that do not exist: a claim whose answer was lost
// may still be on its way and must not be granted after its request gave up.
func (p *Part) release(now time.Time, c *claimsv1.Release) *claimsv1.Result {
	r, known := p.records[string(c.GetRecord())]
	switch {
	case !known:
		p.put(&claimsv1.Record{
			Record:        c.GetRecord(),
			RequestId:     c.GetRequestId(),
			State:         claimsv1.State_STATE_RELEASED,
			ExpiresUnixMs: now.UnixMilli() + max(c.GetRetentionMs(), 0),
		})
	case r.GetState() == claimsv1.State_STATE_PENDING && r.GetRequestId() == c.GetRequestId():
		r.State = claimsv1.State_STATE_RELEASED
	}
	return outcome(claimsv1.Outcome_OUTCOME_ACCEPTED)
}

func (p *Part) put(r *claimsv1.Record) {
	name := string(r.GetRecord())
	p.records[name] = r
	heap.Push(&p.expiry, expiring{r.GetExpiresUnixMs(), name})
}

func (p *Part) expire(now time.Time) {
	limit := now.UnixMilli()
	for len(p.expiry) > 0 && p.expiry[0].at <= limit {
		due := heap.Pop(&p.expiry).(expiring)
		// A record that was replaced since has an entry of its own.
		if r, ok := p.records[due.name]; ok && r.GetExpiresUnixMs() <= limit {
			p.storedBytes -= len(r.GetAnswer().GetBody())
			delete(p.records, due.name)
		}
	}
}

func (p *Part) dropOldBodies() {
	for p.storedBytes > p.maxStored && len(p.stored) > 0 {
		name := p.stored[0]
		p.stored = p.stored[1:]
		r, ok := p.records[name]
		if !ok || len(r.GetAnswer().GetBody()) == 0 {
			continue
		}
		p.storedBytes -= len(r.Answer.Body)
		r.Answer = &claimsv1.Answer{Status: r.Answer.Status, ContentType: r.Answer.ContentType, Truncated: true}
	}
}

// Snapshot implements control.Part.
func (p *Part) Snapshot() ([]byte, error) {
	snapshot := &claimsv1.Snapshot{Records: make([]*claimsv1.Record, 0, len(p.records))}
	for _, r := range p.records {
		snapshot.Records = append(snapshot.Records, r)
	}
	slices.SortFunc(snapshot.Records, func(a, b *claimsv1.Record) int {
		return strings.Compare(string(a.GetRecord()), string(b.GetRecord()))
	})
	return proto.MarshalOptions{Deterministic: true}.Marshal(snapshot)
}

// Restore implements control.Part.
func (p *Part) Restore(data []byte) error {
	var snapshot claimsv1.Snapshot
	if err := proto.Unmarshal(data, &snapshot); err != nil {
		return fmt.Errorf("decode at-most-once records: %w", err)
	}
	fresh := &Part{maxStored: p.maxStored, records: make(map[string]*claimsv1.Record, len(snapshot.GetRecords()))}
	for _, r := range snapshot.GetRecords() {
		fresh.put(r)
		if body := r.GetAnswer().GetBody(); len(body) > 0 {
			fresh.stored = append(fresh.stored, string(r.GetRecord()))
			fresh.storedBytes += len(body)
		}
	}
	slices.SortFunc(fresh.stored, func(a, b string) int {
		return int(int64(fresh.records[a].GetStoredAt() - fresh.records[b].GetStoredAt()))
	})
	*p = *fresh
	return nil
}

// Len returns the number of records.
func (p *Part) Len() int { return len(p.records) }

// expiring is the time at which a record is dropped.
type expiring struct {
	at   int64
	name string
}

// expiryHeap has the next record to expire first.
type expiryHeap []expiring

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h expiryHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) { *h = append(*h, x.(expiring)) }

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	*h = (*h)[:last]
	return x
}
