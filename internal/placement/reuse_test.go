package placement

import (
	"testing"
	"time"
)

// playSeeds plays the bed with some seeds and adds up the results.
func playSeeds(engines int, place func(b *reuseBed) func(*bedRequest)) bedResult {
	var sum bedResult
	for seed := range uint64(8) {
		b := newReuseBed(engines)
		b.load(seed, place(b))
		r := b.play()
		sum.read += r.read
		sum.again += r.again
		sum.againHeld += r.againHeld
		sum.firstByte = append(sum.firstByte, r.firstByte...)
	}
	return sum
}

// Guards against shared parts that engines read again within seconds, because all engines
// have evicted them, because they spread over many engines, or because an engine that could
// fetch them is passed over.
func TestSharedPartsAreRarelyReadAgain(t *testing.T) {
	const mostAgain = 0.04
	fronts := playSeeds(9, func(b *reuseBed) func(*bedRequest) { return b.byFronts })
	oracle := playSeeds(9, func(b *reuseBed) func(*bedRequest) { return b.byOracle })
	for name, r := range map[string]bedResult{"fronts": fronts, "oracle": oracle} {
		t.Logf("%s: %d tokens read, %.1f%% of them again; first byte of long prompts p50 %.0f ms, p95 %.0f ms, p99 %.0f ms",
			name, r.read, 100*r.againShare(), r.percentile(0.5), r.percentile(0.95), r.percentile(0.99))
	}
	if share := fronts.againShare(); share >= mostAgain {
		t.Errorf("%.1f%% of the tokens read had been read before, want less than %.0f%%; the oracle has %.1f%%", 100*share, 100*mostAgain, 100*oracle.againShare())
	}
}

// reuseEngines returns a placer with an engine that holds the shared parts of
// sharedPrompt(1, 1, …) and lets no other engine fetch them, and one that holds nothing. A
// store of another region holds the parts too.
func reuseEngines(t *testing.T) (*Placer, *fakeClock, *member) {
	t.Helper()
	clock := newFakeClock()
	p := withStore(newTestPlacer(clock, 2), "far")
	prompt := sharedPrompt(1, 1, 1)
	first := mustChoose(t, p, prompt)
	completeRequest(p, first)
	p.stores[0].recordSave(clock.now, clock.now, prompt.sharedParts(), 1, 0)
	first.member.Terminating = true
	clock.advance(10 * time.Second)
	return p, clock, first.member
}

// Guards against requests that wait for the engine that holds their parts while another one
// would answer them far sooner, and against parts that are read again to save a short wait.
func TestRequestsWaitOnlyAWhileForReuse(t *testing.T) {
	for _, tt := range []struct {
		backlogMS float64
		wait      bool
	}{{400, true}, {1000, false}} {
		p, clock, holder := reuseEngines(t)
		holder.addBacklog(clock.now, 0, tt.backlogMS*prefillShare)
		if c := mustChoose(t, p, sharedPrompt(1, 1, 2)); (c.member == holder) != tt.wait {
			t.Errorf("the holder has a backlog of %v ms; it is chosen: %t, want %t", tt.backlogMS, c.member == holder, tt.wait)
		}
	}
}

// Guards against a request that reaches an engine while this one still prefills the shared
// parts for an earlier request, so that it prefills them twice.
func TestRequestsArriveWhenTheirPartsArePrefilled(t *testing.T) {
	clock := newFakeClock()
	p := newTestPlacer(clock, 1)
	first := mustChoose(t, p, sharedPrompt(1, 1, 1))
	if first.SendDelay != 0 {
		t.Errorf("the first request is delayed by %v", first.SendDelay)
	}
	clock.advance(50 * time.Millisecond)
	second := mustChoose(t, p, sharedPrompt(1, 1, 2))
	if arrives := 50*time.Millisecond + second.SendDelay; arrives > first.Expected || arrives < first.Expected-time.Millisecond {
		t.Errorf("the second request arrives %v after the first, which is prefilled after %v", arrives, first.Expected)
	}
	if second.Expected < second.SendDelay {
		t.Errorf("a response is expected after %v, although the request is sent after %v", second.Expected, second.SendDelay)
	}
	clock.advance(time.Second)
	if third := mustChoose(t, p, sharedPrompt(1, 1, 3)); third.SendDelay != 0 {
		t.Errorf("a request is delayed by %v although its parts are prefilled", third.SendDelay)
	}
}

// Guards against parts whose first engine has no store in its region although another one
// has, so that they are lost when that engine evicts them.
func TestNewPartsAreReadBesideAStore(t *testing.T) {
	load := newRareReuse()
	for subject := range uint64(10) {
		if c := load.request(t, subject); c.SaveTo == "" {
			t.Errorf("the parts of subject %d are read at %s, which saves them nowhere", subject, c.Target.ID)
		}
		load.clock.advance(time.Second)
	}
}
