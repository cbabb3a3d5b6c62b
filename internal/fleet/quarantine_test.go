package fleet

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// Guards against a quarantine that is lost with a restart or does not reach a front, one
// that fronts learn of late, and one that cannot be lifted.
func TestQuarantineIsReplicated(t *testing.T) {
	r := NewRegistry()
	front := NewState()
	apply := func(index uint64, c Command) {
		r.Apply(index, time.Time{}, c.Encode())
		data, err := r.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		r = NewRegistry()
		if err := r.Restore(data); err != nil {
			t.Fatal(err)
		}
		front = front.Merge(r.DeltaSince(front.Revision))
	}
	check := func(want ...string) {
		t.Helper()
		if got := r.Quarantined(); !slices.Equal(got, want) {
			t.Errorf("registry has %q, want %q", got, want)
		}
		if got := front.QuarantinedSuspects(); !slices.Equal(got, want) {
			t.Errorf("front has %q, want %q", got, want)
		}
	}
	apply(1, Command{Quarantine: []string{"b", "a"}})
	check("a", "b")
	if _, urgent := r.Versions(); urgent != 1 {
		t.Errorf("the urgent revision is %d, want 1", urgent)
	}
	apply(2, Command{Quarantine: []string{"c"}, Release: []string{"a"}})
	check("b", "c")
	apply(3, Command{Release: []string{"b", "c"}})
	check()
}

// Guards against a registry that grows with the quarantined parts.
func TestQuarantineIsLimited(t *testing.T) {
	r := NewRegistry()
	for i := range uint64(MaxQuarantined + 5) {
		r.Apply(i+1, time.Time{}, Command{Quarantine: []string{fmt.Sprintf("%06d", i)}}.Encode())
	}
	parts := r.Quarantined()
	if len(parts) != MaxQuarantined || parts[0] != "000005" {
		t.Errorf("%d parts from %s on are quarantined, want the last %d", len(parts), parts[0], MaxQuarantined)
	}
}
