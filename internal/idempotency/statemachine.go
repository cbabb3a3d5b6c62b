// Package idempotency keeps the records of at-most-once requests. StateMachine
// is the replicated state that holds them; Client claims, completes and
// releases them through the control log. The package does no I/O.
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

// maxStoredBytes is the maximum total size of the response bodies that a voter
// keeps. Beyond it the oldest bodies are evicted, and resends of their requests
// get only the status and the content type. 64 MiB is a quarter of the memory that the design
// allows a node for control data.
const maxStoredBytes = 64 << 20

// recordNameBytes is the length of a record's name, a SHA-256 hash.
const recordNameBytes = 32

// StateMachine is the replicated state of at-most-once requests. It is not safe
// for concurrent use and belongs to the goroutine that applies the log.
type StateMachine struct {
	maxStored int
	records   map[string]*claimsv1.Record
	expiry    expiryHeap
	// withBody lists the names of the records that may hold a body, oldest
	// first.
	withBody    []string
	storedBytes int
}

var _ control.StateMachine = (*StateMachine)(nil)

// NewStateMachine returns a StateMachine without records.
func NewStateMachine() *StateMachine {
	return &StateMachine{maxStored: maxStoredBytes, records: make(map[string]*claimsv1.Record)}
}

// Apply implements control.StateMachine. It returns an encoded Result, whose
// outcome is OUTCOME_UNSPECIFIED if the command is malformed.
func (m *StateMachine) Apply(index uint64, now time.Time, body []byte) []byte {
	m.expire(now)
	var command claimsv1.Command
	result := &claimsv1.Result{}
	if proto.Unmarshal(body, &command) == nil {
		result = m.execute(index, now, &command)
	}
	// Marshal fails only on invalid UTF-8, which Unmarshal has rejected.
	encoded, _ := proto.Marshal(result)
	return encoded
}

func (m *StateMachine) execute(index uint64, now time.Time, command *claimsv1.Command) *claimsv1.Result {
	switch c := command.GetBody().(type) {
	case *claimsv1.Command_Claim:
		if len(c.Claim.GetRecord()) == recordNameBytes && c.Claim.GetRequestId() != "" {
			return m.claim(now, c.Claim)
		}
	case *claimsv1.Command_Complete:
		return m.complete(index, c.Complete)
	case *claimsv1.Command_Release:
		if len(c.Release.GetRecord()) == recordNameBytes && c.Release.GetRequestId() != "" {
			return m.release(now, c.Release)
		}
	}
	return &claimsv1.Result{}
}

func outcome(o claimsv1.Outcome) *claimsv1.Result { return &claimsv1.Result{Outcome: o} }

func (m *StateMachine) claim(now time.Time, c *claimsv1.Claim) *claimsv1.Result {
	r, known := m.records[string(c.GetRecord())]
	if !known || r.GetState() == claimsv1.State_STATE_RELEASED && r.GetRequestId() != c.GetRequestId() {
		m.putRecord(&claimsv1.Record{
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
		// The request released its claim before this delayed claim command was
		// applied.
		return outcome(claimsv1.Outcome_OUTCOME_REFUSED)
	case string(r.GetBodyHash()) != string(c.GetBodyHash()):
		return outcome(claimsv1.Outcome_OUTCOME_MISMATCH)
	case r.GetState() == claimsv1.State_STATE_DONE:
		return &claimsv1.Result{Outcome: claimsv1.Outcome_OUTCOME_DONE, Answer: r.GetAnswer()}
	case r.GetRequestId() == c.GetRequestId():
		// The request repeats its claim because the first response was lost.
		return outcome(claimsv1.Outcome_OUTCOME_GRANTED)
	}
	return outcome(claimsv1.Outcome_OUTCOME_PENDING)
}

func (m *StateMachine) complete(index uint64, c *claimsv1.Complete) *claimsv1.Result {
	r, known := m.records[string(c.GetRecord())]
	if !known || r.GetRequestId() != c.GetRequestId() || r.GetState() == claimsv1.State_STATE_RELEASED {
		return outcome(claimsv1.Outcome_OUTCOME_REFUSED)
	}
	if r.GetState() == claimsv1.State_STATE_PENDING {
		r.State = claimsv1.State_STATE_DONE
		r.Answer = c.GetAnswer()
		r.StoredAt = index
		m.withBody = append(m.withBody, string(c.GetRecord()))
		m.storedBytes += len(r.GetAnswer().GetBody())
		m.evictBodies()
	}
	return outcome(claimsv1.Outcome_OUTCOME_ACCEPTED)
}

// release also creates a released record if none exists: a claim whose response
// was lost may still be in flight and must not be granted after its request has
// abandoned it.
func (m *StateMachine) release(now time.Time, c *claimsv1.Release) *claimsv1.Result {
	r, known := m.records[string(c.GetRecord())]
	switch {
	case !known:
		m.putRecord(&claimsv1.Record{
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

func (m *StateMachine) putRecord(r *claimsv1.Record) {
	name := string(r.GetRecord())
	m.records[name] = r
	heap.Push(&m.expiry, expiryEntry{r.GetExpiresUnixMs(), name})
}

func (m *StateMachine) expire(now time.Time) {
	limit := now.UnixMilli()
	for len(m.expiry) > 0 && m.expiry[0].at <= limit {
		due := heap.Pop(&m.expiry).(expiryEntry)
		// A record that has replaced the expired one has its own heap entry.
		if r, ok := m.records[due.name]; ok && r.GetExpiresUnixMs() <= limit {
			m.storedBytes -= len(r.GetAnswer().GetBody())
			delete(m.records, due.name)
		}
	}
}

func (m *StateMachine) evictBodies() {
	for m.storedBytes > m.maxStored && len(m.withBody) > 0 {
		name := m.withBody[0]
		m.withBody = m.withBody[1:]
		r, ok := m.records[name]
		if !ok || len(r.GetAnswer().GetBody()) == 0 {
			continue
		}
		m.storedBytes -= len(r.Answer.Body)
		r.Answer = &claimsv1.Answer{Status: r.Answer.Status, ContentType: r.Answer.ContentType, Truncated: true}
	}
}

// Snapshot implements control.StateMachine.
func (m *StateMachine) Snapshot() ([]byte, error) {
	snapshot := &claimsv1.Snapshot{Records: make([]*claimsv1.Record, 0, len(m.records))}
	for _, r := range m.records {
		snapshot.Records = append(snapshot.Records, r)
	}
	slices.SortFunc(snapshot.Records, func(a, b *claimsv1.Record) int {
		return strings.Compare(string(a.GetRecord()), string(b.GetRecord()))
	})
	return proto.MarshalOptions{Deterministic: true}.Marshal(snapshot)
}

// Restore implements control.StateMachine.
func (m *StateMachine) Restore(data []byte) error {
	var snapshot claimsv1.Snapshot
	if err := proto.Unmarshal(data, &snapshot); err != nil {
		return fmt.Errorf("decode snapshot of at-most-once records: %w", err)
	}
	restored := &StateMachine{maxStored: m.maxStored, records: make(map[string]*claimsv1.Record, len(snapshot.GetRecords()))}
	for _, r := range snapshot.GetRecords() {
		restored.putRecord(r)
		if body := r.GetAnswer().GetBody(); len(body) > 0 {
			restored.withBody = append(restored.withBody, string(r.GetRecord()))
			restored.storedBytes += len(body)
		}
	}
	slices.SortFunc(restored.withBody, func(a, b string) int {
		return int(int64(restored.records[a].GetStoredAt() - restored.records[b].GetStoredAt()))
	})
	*m = *restored
	return nil
}

// Len returns the number of records.
func (m *StateMachine) Len() int { return len(m.records) }

// expiryEntry is the expiry time of a record.
type expiryEntry struct {
	at   int64
	name string
}

// expiryHeap is a min-heap of expiry times.
type expiryHeap []expiryEntry

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h expiryHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) { *h = append(*h, x.(expiryEntry)) }

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	*h = (*h)[:last]
	return x
}
