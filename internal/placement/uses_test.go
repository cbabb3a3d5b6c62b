package placement

import (
	"fmt"
	"testing"
	"time"
)

// rareReuse is the load of a deployment in two regions of which one has a store: one subject
// that is asked for all the time, and many that are asked for so rarely that engines evict
// their parts in between.
type rareReuse struct {
	clock    *fakeClock
	placer   *Placer
	requests uint64
}

const (
	rareSubjects = 100
	requestGap   = 250 * time.Millisecond
	hotSubject   = rareSubjects
)

func newRareReuse() *rareReuse {
	clock := newFakeClock()
	p := New("a", "r", clock.read)
	p.random = func() float64 { return 0.5 }
	engines := testEngines(9, 1)
	for i := range engines["model"][6:] {
		t := &engines["model"][6+i]
		t.Zone, t.Region = "b", "r2"
	}
	p.Update(engines)
	p.UpdateStores([]Store{{Address: storeAddress, Zone: "b", Region: "r2", CapacityTokens: 720_000, TransferMSPerToken: storeTokenMS}})
	return &rareReuse{clock: clock, placer: p}
}

func (l *rareReuse) request(t *testing.T, subject uint64) *Choice {
	t.Helper()
	l.requests++
	c := mustChoose(t, l.placer, sharedPrompt(subject%4, subject, l.requests))
	completeRequest(l.placer, c)
	return c
}

// play asks for the hot subject and for each rare one in turn, and returns how many
// requests for rare subjects have to read the shared parts.
func (l *rareReuse) play(t *testing.T, rounds int) (reads int) {
	t.Helper()
	for range rounds {
		for subject := range uint64(rareSubjects) {
			l.request(t, hotSubject)
			c := l.request(t, subject)
			if c.CachedTokens < sharedTokens && (c.FetchFrom == nil || !l.held(subject)) {
				reads++
			}
			l.clock.advance(requestGap)
		}
	}
	return reads
}

// sharedTokens is the size of the shared parts of sharedPrompt.
const sharedTokens = 6300

func (l *rareReuse) held(subject uint64) bool {
	prompt := sharedPrompt(subject%4, subject, 0)
	for _, s := range l.placer.stores {
		if s.heldTokens(l.clock.now, prompt.sharedParts(), 1) >= sharedTokens {
			return true
		}
	}
	return false
}

// Guards against shared parts that are read at each use, because their home is an engine
// that evicts them between two uses, although engines beside a store could fetch them.
func TestRarelyUsedPartsAreKeptByTheStore(t *testing.T) {
	load := newRareReuse()
	load.play(t, 3)
	if reads := load.play(t, 4); reads > 0 {
		t.Errorf("%d of %d requests for rare subjects read their shared parts again", reads, 4*rareSubjects)
	}
}

// Guards against parts in frequent use that leave the engines of the callers' region, and
// against rare parts that keep a distant home when the store is lost.
func TestOnlyRarelyUsedPartsHaveTheirHomeAtTheStore(t *testing.T) {
	load := newRareReuse()
	load.play(t, 3)
	hot := sharedPrompt(hotSubject%4, hotSubject, 0)
	regions := func(subjects uint64) map[string]int {
		found := make(map[string]int)
		for subject := range subjects {
			prompt := sharedPrompt(subject%4, subject, 0)
			found[load.placer.homeFor(load.placer.services["model"], &prompt, load.clock.now).Region]++
		}
		return found
	}
	if !load.placer.uses.survive(load.placer.services["model"], hot.sharedParts(), load.clock.now) {
		t.Error("the parts of the hot subject count as rarely used")
	}
	if found := regions(rareSubjects); found["r2"] != rareSubjects {
		t.Errorf("homes of rare subjects by region: %v, want all in r2", found)
	}
	load.placer.UpdateStores(nil)
	if found := regions(rareSubjects); found["r"] == 0 {
		t.Errorf("homes of rare subjects without a store, by region: %v, want some in r", found)
	}
}

// Guards against use records that grow without bound.
func TestTrackedUsesAreBounded(t *testing.T) {
	var uses partUses
	now := time.Unix(1000, 0)
	for i := range uint32(3 * maxTrackedUses) {
		uses.record(now, []Part{{ID: uint64(i)}})
	}
	if n := len(uses.parts); n > maxTrackedUses+1 {
		t.Errorf("%d parts are tracked", n)
	}
}

// BenchmarkHomeOfRarePart measures the choice for a rarely used part at many engines.
func BenchmarkHomeOfRarePart(b *testing.B) {
	for _, engines := range []int{9, 320} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			clock := newFakeClock()
			p := withStore(newTestPlacer(clock, engines), "r")
			for n := range b.N {
				c, _ := p.Choose(sharedPrompt(1, uint64(n%rareSubjects), uint64(n)))
				p.Done(c, Completed)
				p.TakeHints()
				clock.advance(requestGap)
			}
		})
	}
}
