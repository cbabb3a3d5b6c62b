package edge

import (
	"testing"

	"github.com/cuminwing/cuminwing/internal/fleetsync"
)

// Guards against a front that retries a frozen leader while other fronts already
// follow its successor: it had no core for 1.3 s longer than they did.
func TestFrontDoesNotRetryFailedLeaderAtOnce(t *testing.T) {
	core := []string{"a:1", "b:1", "c:1"}
	f := newLeaderFinder(core, func() []string { return core })
	f.found("a:1", fleetsync.Response{Core: core})
	f.failed("a:1")
	for i := range 2 {
		asked := f.next()
		if asked == "a:1" {
			t.Fatalf("call %d goes to the failed leader", i)
		}
		// The response of a core member that has not detected the failure yet.
		f.redirected(asked, fleetsync.Response{Leader: "a:1", Core: core})
		f.lastFailed = "a:1"
	}
	asked := f.next()
	f.redirected(asked, fleetsync.Response{Leader: "c:1", Core: core})
	if asked != "c:1" && f.next() != "c:1" {
		t.Error("the hint to the new leader is not followed")
	}
}

// Guards against a front that never finds the core after all members were
// replaced. It has to reload the seeds from the settings.
func TestFrontReloadsSeedsWhenNoCoreResponds(t *testing.T) {
	f := newLeaderFinder([]string{"a:1"}, func() []string { return []string{"d:1"} })
	seen := false
	for range 6 {
		asked := f.next()
		seen = seen || asked == "d:1"
		f.failed(asked)
	}
	if !seen {
		t.Error("the new seed is never tried")
	}
}
