package loadgen

import (
	"reflect"
	"testing"
	"time"

	"github.com/cuminwing/cuminwing/internal/config"
)

// Guards against a check of streams that lets a broken answer pass.
func TestStreamCheckFindsBrokenAnswers(t *testing.T) {
	const want = "w1 w2 w3 "
	for _, c := range []struct {
		desc, text, finish, code string
		done                     int
		broken                   bool
	}{
		{"whole", want, "stop", "", 1, false},
		{"lost token", "w1 w3 ", "stop", "", 1, true},
		{"doubled token", "w1 w2 w2 w3 ", "stop", "", 1, true},
		{"answer of another request", "w9 w8 w7 ", "stop", "", 1, true},
		{"short stream that looks whole", "w1 ", "stop", "", 1, true},
		{"no end marker", want, "stop", "", 0, true},
		{"two end markers", want, "stop", "", 2, true},
		{"no finish reason", want, "", "", 1, true},
		{"explicit error", "w1 w2 ", "", "target_failed", 0, false},
		{"error followed by an end marker", "w1 ", "", "target_failed", 1, true},
		{"error after text of another request", "w9 ", "", "target_failed", 0, true},
	} {
		s := &streamed{finish: c.finish, done: c.done, code: c.code}
		s.text.WriteString(c.text)
		if got := s.check(want); (got != "") != c.broken {
			t.Errorf("%s: %q", c.desc, got)
		}
	}
}

// Guards against a check of orders that lets a doubled or a denied order pass.
func TestOrderCheckFindsBrokenPromises(t *testing.T) {
	for _, c := range []struct {
		desc       string
		order      Order
		executions int
		broken     bool
	}{
		{"once", Order{Answers: []string{orderDone, orderDone}, Bodies: []string{"a", "a"}}, 1, false},
		{"outcome unknown", Order{Answers: []string{"unknown", orderLost}}, 1, false},
		{"refused", Order{Answers: []string{"not-run"}}, 0, false},
		{"ran twice", Order{Answers: []string{orderDone}, Bodies: []string{"a"}}, 2, true},
		{"ran in spite of not-run", Order{Answers: []string{"not-run", "not-run"}}, 1, true},
		{"answered without running", Order{Answers: []string{orderDone}, Bodies: []string{"a"}}, 0, true},
		{"two answers", Order{Answers: []string{orderDone, orderDone}, Bodies: []string{"a", "b"}}, 1, true},
	} {
		got := CheckOrders([]*Order{&c.order}, func(string) int { return c.executions })
		if (len(got) > 0) != c.broken {
			t.Errorf("%s: %v", c.desc, got)
		}
	}
}

// Guards against a load that differs from run to run under one seed, and
// against a rate check that does not notice an excess.
func TestPlanAndRateCheck(t *testing.T) {
	p := verband()
	plan := Plan(&p, 7, 20*time.Second)
	if !reflect.DeepEqual(plan, Plan(&p, 7, 20*time.Second)) || reflect.DeepEqual(plan, Plan(&p, 8, 20*time.Second)) {
		t.Fatal("the plan is not a function of the seed")
	}
	var results []Result
	for _, r := range plan {
		results = append(results, Result{Request: r, Status: 200, Started: r.At, FirstToken: time.Millisecond})
	}
	document := p.Document()
	if m := Measure(&p, document, results, Counters{}, 0); m.OverRate <= 0 {
		t.Errorf("a workspace with four times its rate is %v tokens over it", m.OverRate)
	}
	for name := range document.Rates {
		document.Rates[name] = config.Rate{RateTokensPerSecond: 1e9, BurstTokens: 1e9}
	}
	if m := Measure(&p, document, results, Counters{}, 0); m.OverRate > 0 {
		t.Errorf("%v tokens over a rate that covers everything", m.OverRate)
	}
}
