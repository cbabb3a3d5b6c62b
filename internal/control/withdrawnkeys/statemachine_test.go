package withdrawnkeys

import (
	"testing"
	"time"

	"github.com/cuminwing/cuminwing/internal/apikeys"
)

// Guards against losing a withdrawal when a snapshot is taken and restored.
func TestWithdrawalsSurviveSnapshot(t *testing.T) {
	withdrawn := apikeys.NewWithdrawnSet()
	m := NewStateMachine(func(h []apikeys.Hash) { withdrawn.Add(h...) })
	h := apikeys.HashKey("cw-leaked")
	m.Apply(1, time.Time{}, EncodeWithdrawal([]apikeys.Hash{h}))
	data, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := NewStateMachine(func([]apikeys.Hash) {})
	if err := restored.Restore(data); err != nil {
		t.Fatal(err)
	}
	if !restored.Contains(h) || !withdrawn.Contains(h) {
		t.Fatal("the withdrawn key is missing after the restore")
	}
}

func FuzzDecodeWithdrawal(f *testing.F) {
	f.Add(EncodeWithdrawal([]apikeys.Hash{apikeys.HashKey("a")}))
	f.Fuzz(func(t *testing.T, data []byte) {
		hashes, err := DecodeWithdrawal(data)
		if err != nil {
			return
		}
		again, err := DecodeWithdrawal(EncodeWithdrawal(hashes))
		if err != nil || len(again) != len(hashes) {
			t.Fatalf("re-encoding %d hashes decoded to %d: %v", len(hashes), len(again), err)
		}
	})
}
