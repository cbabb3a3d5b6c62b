package ratelimit

import (
	"testing"
	"time"
)

// Guards against a Retry-After that is too short: a workspace that had spent
// its window was told to retry after 20 ms.
func TestRefusedRequestIsAdmittedAfterTheStatedWait(t *testing.T) {
	for _, tokens := range []float64{2_000, 9_000, 40_000} {
		f := newShareFleet(3, 1)
		v := f.vms[0]
		f.report(v)
		wait, ok := time.Duration(0), true
		for ok {
			f.now += 5 * time.Millisecond
			wait, ok = v.shares.Admit(f.now, "w", testRate, testBurst, tokens)
			if f.now > time.Minute {
				t.Fatal("no request was refused within a minute")
			}
		}
		if wait < 50*time.Millisecond {
			t.Errorf("%.0f tokens: stated wait is %v after the window was spent, want at least 50ms", tokens, wait)
		}
		f.now += wait
		if again, ok := v.shares.Admit(f.now, "w", testRate, testBurst, tokens); !ok {
			t.Errorf("%.0f tokens: refused for another %v after the stated wait of %v", tokens, again, wait)
		}
	}
}

// Guards against a Retry-After that ignores other VMs: a VM that had spent
// nothing itself stated a wait of 21 ms although the other VMs had spent the
// window.
func TestWaitCountsWhatOthersHaveSpent(t *testing.T) {
	s := NewShareLimiter(testOvershoot)
	limit := (testRate*testOvershoot.Window.Seconds()+testBurst)*(1+testOvershoot.Fraction) + testOvershoot.Tokens
	const used = 0.95
	s.ApplyGrants(0, 0, 8, map[string]ShareGrant{"w": {Fraction: 0.1, SpentByOthers: used * limit}}, func(string) (float64, float64) {
		return testRate, testBurst
	})
	wait, ok := s.Admit(time.Millisecond, "w", testRate, testBurst, 5000)
	// If the spending was spread evenly, enough of it has left the window by
	// then.
	least := time.Duration((used - hardLimitFraction) / used * float64(testOvershoot.Window))
	if ok || wait < least {
		t.Errorf("admitted %v, wait %v; want a refusal for at least %v", ok, wait, least)
	}
}
