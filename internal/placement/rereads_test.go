package placement

import (
	"testing"
	"time"

	"github.com/cuminwing/cuminwing/internal/targetstate"
)

// rereadCase makes the placer read the parts of sharedPrompt(1, 1, …) again, which its only
// engine has read before.
type rereadCase struct {
	want    RereadCause
	arrange func(t *testing.T, p *Placer, clock *fakeClock, req *Request)
}

func addEngine(p *Placer, region string) {
	s := p.services["model"]
	s.members = append(s.members, &member{Target: Target{ID: "new", Region: region, Weights: 1}, state: targetstate.NewTarget(s.group)})
}

var allRereadCases = []rereadCase{
	{RereadEvicted, func(t *testing.T, p *Placer, clock *fakeClock, _ *Request) {
		p.UpdateStores(nil)
		for i := range uint64(20) {
			completeRequest(p, mustChoose(t, p, sharedPrompt(2+i, 2+i, 10+i)))
			clock.advance(time.Second)
		}
	}},
	{RereadPassedOver, func(_ *testing.T, p *Placer, clock *fakeClock, _ *Request) {
		clock.advance(time.Second)
		beside := p.services["model"].members[0]
		addEngine(p, "far")
		beside.held = holding{}
		beside.addBacklog(clock.now, 0, 5000)
	}},
	{RereadInProgress, func(_ *testing.T, p *Placer, clock *fakeClock, _ *Request) {
		addEngine(p, "r")
		p.services["model"].members[0].addBacklog(clock.now, 0, 5000)
	}},
	{RereadRetry, func(_ *testing.T, p *Placer, _ *fakeClock, req *Request) {
		addEngine(p, "r")
		req.Exclude = []string{p.services["model"].members[0].ID}
	}},
}

// Guards against parts that are read again for a cause that the metrics do not tell, or tell
// wrongly.
func TestRereadsAreCountedByCause(t *testing.T) {
	for _, tt := range allRereadCases {
		t.Run(tt.want.String(), func(t *testing.T) {
			clock := newFakeClock()
			p := withStore(newTestPlacer(clock, 1), "r")
			mustChoose(t, p, sharedPrompt(1, 1, 1))
			before := p.rereadTokens
			req := sharedPrompt(1, 1, 100)
			tt.arrange(t, p, clock, &req)
			mustChoose(t, p, req)
			if before != [rereadCauses]uint64{} {
				t.Errorf("the first use of parts counts as reading them again: %v", before)
			}
			for _, cause := range RereadCauses {
				if tokens := p.RereadTokens(cause); (tokens > 0) != (cause == tt.want) {
					t.Errorf("%d tokens count as read again for the cause %v", tokens, cause)
				}
			}
		})
	}
}
