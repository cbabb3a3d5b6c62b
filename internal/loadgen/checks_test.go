package loadgen

import (
	"reflect"
	"testing"
	"time"

	"github.com/cuminwing/cuminwing/internal/config"
)

// Guards against a stream check that accepts an incomplete or altered response.
func TestStreamCheckFindsViolations(t *testing.T) {
	const want = "w1 w2 w3 "
	for _, c := range []struct {
		desc, text, finish, code string
		done                     int
		broken                   bool
	}{
		{"complete", want, "stop", "", 1, false},
		{"lost token", "w1 w3 ", "stop", "", 1, true},
		{"duplicate token", "w1 w2 w2 w3 ", "stop", "", 1, true},
		{"response to another request", "w9 w8 w7 ", "stop", "", 1, true},
		{"truncated stream that looks complete", "w1 ", "stop", "", 1, true},
		{"no end marker", want, "stop", "", 0, true},
		{"two end markers", want, "stop", "", 2, true},
		{"no finish reason", want, "", "", 1, true},
		{"explicit error", "w1 w2 ", "", "target_failed", 0, false},
		{"error followed by an end marker", "w1 ", "", "target_failed", 1, true},
		{"error after text of another request", "w9 ", "", "target_failed", 0, true},
	} {
		s := &receivedStream{finishReason: c.finish, doneMarkers: c.done, errorCode: c.code}
		s.text.WriteString(c.text)
		if got := s.check(want); (got != "") != c.broken {
			t.Errorf("%s: %q", c.desc, got)
		}
	}
}

// Guards against an order check that accepts an order that ran twice, or that
// ran although the responses say that it did not.
func TestOrderCheckFindsViolations(t *testing.T) {
	for _, c := range []struct {
		desc       string
		order      Order
		executions int
		broken     bool
	}{
		{"once", Order{Outcomes: []string{orderDone, orderDone}, ResponseBodies: []string{"a", "a"}}, 1, false},
		{"outcome unknown", Order{Outcomes: []string{"unknown", orderNoResponse}}, 1, false},
		{"refused", Order{Outcomes: []string{"not-run"}}, 0, false},
		{"ran twice", Order{Outcomes: []string{orderDone}, ResponseBodies: []string{"a"}}, 2, true},
		{"ran although reported as not-run", Order{Outcomes: []string{"not-run", "not-run"}}, 1, true},
		{"answered without running", Order{Outcomes: []string{orderDone}, ResponseBodies: []string{"a"}}, 0, true},
		{"two different responses", Order{Outcomes: []string{orderDone, orderDone}, ResponseBodies: []string{"a", "b"}}, 1, true},
	} {
		got := CheckOrders([]*Order{&c.order}, func(string) int { return c.executions })
		if (len(got) > 0) != c.broken {
			t.Errorf("%s: %v", c.desc, got)
		}
	}
}

// Guards against a load that is not reproducible from its seed, and against a
// rate check that misses tokens above the rate.
func TestPlanAndRateCheck(t *testing.T) {
	p := verband()
	plan := Plan(&p, 7, 20*time.Second)
	if !reflect.DeepEqual(plan, Plan(&p, 7, 20*time.Second)) || reflect.DeepEqual(plan, Plan(&p, 8, 20*time.Second)) {
		t.Fatal("the plan is not a function of the seed")
	}
	var results []Result
	for _, r := range plan {
		results = append(results, Result{Request: r, Status: 200, SentOffset: r.SendOffset, FirstToken: time.Millisecond})
	}
	document := p.Document()
	if m := Summarize(&p, document, results, Counters{}, 0); m.ExcessTokens <= 0 {
		t.Errorf("a workspace that sends four times its rate has %v excess tokens, want more than 0", m.ExcessTokens)
	}
	for name := range document.Rates {
		document.Rates[name] = config.Rate{RateTokensPerSecond: 1e9, BurstTokens: 1e9}
	}
	if m := Summarize(&p, document, results, Counters{}, 0); m.ExcessTokens > 0 {
		t.Errorf("%v excess tokens with a rate that covers all requests, want none", m.ExcessTokens)
	}
}
