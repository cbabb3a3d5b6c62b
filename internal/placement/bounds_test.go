package placement

import (
	"testing"
	"time"
)

// Guards against a refused request that counts as work or as a use of a limit, at this VM or
// at the others: while many are refused, all engines would seem to be ever fuller.
func TestRefusedChoiceLeavesNoTrace(t *testing.T) {
	p := newTestPlacer(newFakeClock(), 1)
	p.services["model"].members[0].admission.limited = true
	p.services["model"].members[0].admission.limit = 1
	req := sharedPrompt(1, 1, 1)
	req.Accept = func(*Choice) bool { return false }
	before := mustChoose(t, p, req)
	for range 50 {
		if c := mustChoose(t, p, req); !c.Refused || c.Expected != before.Expected {
			t.Fatalf("refused %v, expected first byte after %v; want a refusal with %v", c.Refused, c.Expected, before.Expected)
		}
	}
	if packets := p.TakeHints(); len(packets) != 0 {
		t.Errorf("%d packets tell the other VMs of refused requests", len(packets))
	}
	req.Accept = nil
	if c := mustChoose(t, p, req); c.Refused {
		t.Error("a request without a condition was refused")
	}
}

// Guards against a request that waits for the engine that holds its prompt, and is refused for
// that, while another engine can begin it in time.
func TestEngineBeyondTheBoundsIsChosenLast(t *testing.T) {
	for name, bounds := range map[string]func(home *Choice) Bounds{
		"first byte": func(home *Choice) Bounds { return Bounds{First: home.Expected - 1} },
		"wait":       func(home *Choice) Bounds { return Bounds{Wait: home.Expected - home.Work() - 1} },
	} {
		t.Run(name, func(t *testing.T) {
			clock := newFakeClock()
			p := newTestPlacer(clock, 2)
			completeRequest(p, mustChoose(t, p, sharedPrompt(1, 1, 1)))
			clock.advance(time.Second)
			// The prompt is cached at its home, which is preferred in spite of its queue.
			req := sharedPrompt(1, 1, 2)
			home := p.homeFor(p.services["model"], &req, clock.now)
			home.addBacklog(clock.now, 0, 85)
			c := mustChoose(t, p, req)
			if c.Target.ID != home.ID {
				t.Fatalf("the prompt goes to %s, and not to its home", c.Target.ID)
			}
			p.Done(c, Unused)
			req = sharedPrompt(1, 1, 3)
			req.Bounds = bounds(c)
			other := mustChoose(t, p, req)
			if other.Target.ID == home.ID {
				t.Errorf("the prompt goes to its home, where its first byte is expected after %v", other.Expected)
			}
			other.member.Excluded = true
			if c := mustChoose(t, p, sharedPrompt(1, 1, 4)); c.Target.ID != home.ID {
				t.Errorf("the prompt goes to %s, which is excluded", c.Target.ID)
			}
		})
	}
}
