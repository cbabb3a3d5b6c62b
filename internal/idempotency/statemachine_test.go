package idempotency

import (
	"bytes"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/cuminwing/cuminwing/internal/serving"
	claimsv1 "github.com/cuminwing/cuminwing/proto/claims/v1"
)

func claimBy(request, key string, hash byte) serving.Claim {
	return serving.Claim{Workspace: "yards", Key: key, BodyHash: [32]byte{hash}, RequestID: request, Retention: time.Hour}
}

func applyClaim(t *testing.T, m *StateMachine, now time.Time, c serving.Claim) *claimsv1.Result {
	t.Helper()
	return decode(t, m.Apply(1, now, encodeClaim(c)))
}

func decode(t *testing.T, data []byte) *claimsv1.Result {
	t.Helper()
	var r claimsv1.Result
	if err := proto.Unmarshal(data, &r); err != nil {
		t.Fatal(err)
	}
	return &r
}

func applyComplete(m *StateMachine, index uint64, c serving.Claim, body []byte) {
	data, _ := proto.Marshal(&claimsv1.Command{Body: &claimsv1.Command_Complete{Complete: &claimsv1.Complete{
		Record: recordName(c), RequestId: c.RequestID, Answer: &claimsv1.Answer{Status: 200, Body: body},
	}}})
	m.Apply(index, time.UnixMilli(0), data)
}

// Guards against records that are removed before they expire, never removed, or
// reused for another request.
func TestRecordLifecycle(t *testing.T) {
	m := NewStateMachine()
	start := time.UnixMilli(1000)
	first := claimBy("r1", "k", 1)
	for _, step := range []struct {
		claim serving.Claim
		at    time.Time
		want  claimsv1.Outcome
	}{
		{first, start, claimsv1.Outcome_OUTCOME_GRANTED},
		{first, start, claimsv1.Outcome_OUTCOME_GRANTED},
		{claimBy("r2", "k", 1), start, claimsv1.Outcome_OUTCOME_PENDING},
		{claimBy("r3", "k", 2), start, claimsv1.Outcome_OUTCOME_MISMATCH},
		{claimBy("r4", "k", 1), start.Add(time.Hour - time.Millisecond), claimsv1.Outcome_OUTCOME_PENDING},
		{claimBy("r5", "k", 1), start.Add(time.Hour), claimsv1.Outcome_OUTCOME_GRANTED},
	} {
		if got := applyClaim(t, m, step.at, step.claim).GetOutcome(); got != step.want {
			t.Errorf("claim of %s: outcome %s, want %s", step.claim.RequestID, got, step.want)
		}
	}
	if m.Len() != 1 {
		t.Errorf("%d records, want 1", m.Len())
	}
}

// Guards against a voter that runs out of memory because of stored responses,
// and against a voter whose state differs after it is restored from a snapshot.
func TestStoredBodiesAreBounded(t *testing.T) {
	m := NewStateMachine()
	m.maxStored = 100
	now := time.UnixMilli(0)
	for i, key := range []string{"a", "b", "c"} {
		applyClaim(t, m, now, claimBy("r", key, 1))
		applyComplete(m, uint64(i), claimBy("r", key, 1), bytes.Repeat([]byte{'x'}, 40))
	}
	restored := NewStateMachine()
	restored.maxStored = 100
	data, _ := m.Snapshot()
	if err := restored.Restore(data); err != nil {
		t.Fatal(err)
	}
	for _, machine := range []*StateMachine{m, restored} {
		oldest := applyClaim(t, machine, now, claimBy("x", "a", 1))
		newest := applyClaim(t, machine, now, claimBy("x", "c", 1))
		if !oldest.GetAnswer().GetTruncated() || len(newest.GetAnswer().GetBody()) != 40 || machine.storedBytes != 80 {
			t.Errorf("oldest answer %v, newest answer %v, %d bytes stored", oldest, newest, machine.storedBytes)
		}
	}
}

// Guards against panics on corrupt commands and snapshots.
func FuzzApply(f *testing.F) {
	f.Add(encodeClaim(claimBy("r", "k", 1)))
	f.Fuzz(func(t *testing.T, data []byte) {
		m := NewStateMachine()
		m.Apply(1, time.UnixMilli(1), data)
		m.Apply(2, time.UnixMilli(2), data)
		if m.Restore(data) == nil {
			if _, err := m.Snapshot(); err != nil {
				t.Fatal(err)
			}
		}
	})
}
