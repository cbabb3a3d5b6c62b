package target

import (
	"testing"
	"time"
)

// Guards against outdated announcements that restore a former incarnation or
// bring a leaving target back into use, and against use of a target that has
// stopped sending heartbeats.
func TestAnnouncementsNeverGoBack(t *testing.T) {
	now := time.Unix(1000, 0)
	r := NewRegistry()
	announce := func(incarnation, sequence uint64, leaving bool) Change {
		return r.MergeAnnouncement(Announcement{ID: "e", Kind: KindEngine, Model: "m", Version: "v", Incarnation: incarnation, Sequence: sequence, Leaving: leaving}, now)
	}
	for i, c := range []struct {
		incarnation, sequence uint64
		leaving               bool
		want                  Change
		usable                bool
	}{
		{5, 1, false, Joined, true},
		{5, 3, false, Refreshed, true},
		{5, 2, true, Stale, true},
		{5, 4, true, Left, false},
		{5, 5, false, Refreshed, false},
		{4, 9, false, Stale, false},
		{6, 1, false, Replaced, true},
		{5, 9, true, Stale, true},
	} {
		if got := announce(c.incarnation, c.sequence, c.leaving); got != c.want {
			t.Errorf("step %d: change %v, want %v", i, got, c.want)
		}
		if got := len(r.Engines("m", "v", now)) == 1; got != c.usable {
			t.Errorf("step %d: usable %v, want %v", i, got, c.usable)
		}
	}
	if len(r.Engines("m", "other", now)) != 0 {
		t.Error("an engine is usable for a weights version that it has not loaded")
	}
	if len(r.Engines("m", "v", now.Add(HeartbeatTimeout))) != 0 {
		t.Error("a target without a heartbeat for HeartbeatTimeout is usable")
	}
}
