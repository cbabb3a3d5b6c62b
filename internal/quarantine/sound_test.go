package quarantine

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
)

// callers are sound callers with sessions of any length, whose requests run beside those with a fatal
// part.
type callers struct {
	*rand.Rand
	fleet    *testFleet
	sessions []session
}

// newCallers returns callers with prompts of up to 1,500 parts, some of them with long names.
func newCallers(f *testFleet, random *rand.Rand) *callers {
	c := &callers{Rand: random, fleet: f}
	for i := range 6 {
		prefix := fmt.Sprint("session-", i, "-")
		if random.IntN(3) == 0 {
			prefix = strings.Repeat("x", 300) + prefix
		}
		c.sessions = append(c.sessions, session{f, append([]string{"common"}, names(prefix, random.IntN(1500))...)})
	}
	return c
}

// fatalRequest returns a request that has the fatal part anywhere among those of a session.
func (c *callers) fatalRequest(fatal string) Request {
	parts := c.sessions[c.IntN(len(c.sessions))].parts
	return c.fleet.request(slices.Insert(slices.Clone(parts), c.IntN(len(parts)+1), fatal)...)
}

// running returns sound requests that run at an engine.
func (c *callers) running() []Request {
	var requests []Request
	for range c.IntN(20) {
		requests = append(requests, c.fleet.request(c.sessions[c.IntN(len(c.sessions))].parts...))
	}
	return requests
}

// complete completes requests of most sessions, each at one front, and of all sessions in every
// second interval.
func (c *callers) complete(n int) {
	for _, s := range c.sessions {
		if n%2 == 1 || c.IntN(3) > 0 {
			s.complete(c.IntN(len(c.fleet.fronts)))
		}
	}
}

// checkSound reports sound requests that are rejected.
func (c *callers) checkSound(seed uint64) {
	c.fleet.t.Helper()
	for _, s := range c.sessions {
		if !c.fleet.isAdmitted(c.fleet.request(s.parts...)) {
			c.fleet.t.Errorf("seed %d: sound requests with %d parts are rejected; quarantined: %.200q", seed, len(s.parts), c.fleet.quarantined)
		}
	}
}

// Guards against sound requests that are rejected, at any time, because their parts stand beside one
// that crashes engines, and against a fatal part that is found late: it stands anywhere in prompts
// of any length, while leaders and fronts are lost.
func TestSoundPartsBesideAFatalOneAreNotQuarantined(t *testing.T) {
	for seed := range uint64(4) {
		random := rand.New(rand.NewPCG(seed, 0))
		f := newTestFleet(t, 1+random.IntN(4))
		c := newCallers(f, random)
		fatal := []string{"fatal", strings.Repeat("fatal", 100)}[random.IntN(2)]
		arrivals := 0
		for n := 0; n < 3*maxFatalArrivals; n++ {
			requests := c.running()
			if r := c.fatalRequest(fatal); !f.isRejected(r) {
				arrivals++
				requests = slices.Insert(requests, random.IntN(len(requests)+1), r)
			}
			if len(requests) > 0 && (arrivals > 0 && arrivals == n+1 || random.IntN(8) == 0) {
				f.crash(requests...)
			}
			f.advance(fatalInterval / 3)
			c.complete(n)
			f.advance(fatalInterval - fatalInterval/3)
			if random.IntN(10) == 0 {
				f.replaceLeader(random.IntN(4) == 0)
			}
			c.checkSound(seed)
		}
		f.check(arrivals)
	}
}
