package edge

import (
	"testing"

	"github.com/cuminwing/cuminwing/internal/ratelimit"
)

// Guards against a part of a report that is lost between a front and the core, and against
// a record that is not renewed when only the age of the spending has changed.
func TestReportsKeepWhenSpendingOccurred(t *testing.T) {
	spending := ratelimit.Spending{Spent: 80, Recent: 50, FirstQuarter: 20, ThirdQuarter: 30}
	sent := map[string]ratelimit.ShareReport{"w": {Held: 0.5, Demand: 12, Spending: spending, Confirmed: ratelimit.Confirmed{Spent: 60, Recent: 40}}}
	if got := decodeReports(encodeReports(sent))["w"]; got != sent["w"] {
		t.Errorf("received %+v, sent %+v", got, sent["w"])
	}
	for name, change := range map[string]func(*ratelimit.Spending){
		"first quarter": func(s *ratelimit.Spending) { s.FirstQuarter = 0 },
		"third quarter": func(s *ratelimit.Spending) { s.ThirdQuarter = 0 },
	} {
		changed := spending
		change(&changed)
		if !spendingChanged(map[string]ratelimit.SpendingRecord{"w": {Spending: changed}}, map[string]ratelimit.SpendingRecord{"w": {Spending: spending}}) {
			t.Errorf("%s: a change is not recorded", name)
		}
	}
}
