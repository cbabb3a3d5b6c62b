package placement

import (
	"testing"
	"time"
)

const (
	storeAddress = "10.0.9.1:80"
	// storeTokenMS is the transfer time of a token of 256 KiB at 280 Gbit/s.
	storeTokenMS = 0.0075
)

func withStore(p *Placer, region string) *Placer {
	p.UpdateStores([]Store{{Address: storeAddress, Zone: "a", Region: region, CapacityTokens: 720_000, TransferMSPerToken: storeTokenMS}})
	return p
}

func completeRequest(p *Placer, c *Choice) {
	p.RecordFirstByte(c)
	p.Done(c, Completed)
}

// Scenario with more subjects than the engines can cache: guards against shared
// parts that an engine prefills again although the store holds them.
func TestEvictedPartsAreFetchedFromStore(t *testing.T) {
	clock := newFakeClock()
	p := withStore(newTestPlacer(clock, 3), "r")
	const subjects = 50
	for i := range uint64(subjects) {
		c := mustChoose(t, p, sharedPrompt(i%4, i, i))
		if c.SaveTo != storeAddress {
			t.Fatalf("parts of subject %d are not saved when an engine first prefills them", i)
		}
		completeRequest(p, c)
		clock.advance(300 * time.Millisecond)
	}
	for i := range uint64(subjects) {
		c := mustChoose(t, p, sharedPrompt(i%4, i, subjects+i))
		if c.FetchFrom == nil {
			t.Fatalf("parts of subject %d are not fetched", i)
		}
		if c.FetchFrom.Address == storeAddress && c.SaveTo != "" {
			t.Fatalf("parts of subject %d are saved again although they come from the store", i)
		}
		if fullPrefill := time.Duration(prefillMS(9200, 0) * float64(time.Millisecond)); c.Expected >= fullPrefill {
			t.Errorf("subject %d has an expected time to first byte of %v, no less than a full prefill of %v", i, c.Expected, fullPrefill)
		}
		completeRequest(p, c)
		clock.advance(300 * time.Millisecond)
	}
}

// Guards against a part that an engine has evicted without the front noticing
// and prefills again: the store must be queried as well.
func TestStoreIsQueriedForPartsBelievedCached(t *testing.T) {
	p := withStore(newTestPlacer(newFakeClock(), 1), "r")
	mustChoose(t, p, sharedPrompt(1, 1, 1))
	c := mustChoose(t, p, sharedPrompt(1, 1, 2))
	if c.CachedTokens != 6300 || c.FetchFrom == nil || c.FetchFrom.Address != storeAddress {
		t.Errorf("%d tokens count as cached and the engine fetches from %v, want 6300 and the store", c.CachedTokens, c.FetchFrom)
	}
}

// Guards against transfers between regions, which take longer than prefilling
// and delay all other transfers of the store.
func TestAStoreOfAnotherRegionIsNotUsed(t *testing.T) {
	p := withStore(newTestPlacer(newFakeClock(), 1), "far")
	for i := range uint64(2) {
		if c := mustChoose(t, p, sharedPrompt(1, 1, i)); c.FetchFrom != nil || c.SaveTo != "" {
			t.Errorf("engine fetches from %v and saves to %q, want neither across regions", c.FetchFrom, c.SaveTo)
		}
	}
}

// Guards against parts computed with other weights that count as held by the
// store.
func TestNewWeightsAreSavedAgain(t *testing.T) {
	p := withStore(newTestPlacer(newFakeClock(), 1), "r")
	mustChoose(t, p, sharedPrompt(1, 1, 1))
	p.Update(testEngines(1, 2))
	if c := mustChoose(t, p, sharedPrompt(1, 1, 2)); c.SaveTo != storeAddress {
		t.Error("parts computed with new weights are not saved")
	}
}

// Guards against fronts that each save the same parts to the store.
func TestFrontsKnowWhatOthersHaveSaved(t *testing.T) {
	clock := newFakeClock()
	fronts := []*Placer{withStore(newTestPlacer(clock, 2), "r"), withStore(newTestPlacer(clock, 2), "r")}
	completeRequest(fronts[0], mustChoose(t, fronts[0], sharedPrompt(1, 1, 1)))
	exchangeHints(fronts)
	if c := mustChoose(t, fronts[1], sharedPrompt(1, 1, 2)); c.SaveTo != "" {
		t.Error("a second front saves the same parts")
	}
	if c := mustChoose(t, fronts[1], sharedPrompt(1, 2, 3)); c.SaveTo != storeAddress {
		t.Error("parts that no front has saved count as held by the store")
	}
}

// Guards against a store that stays empty after a restart: it does not announce
// the restart, so fronts still count the parts as held.
func TestPartsAreSavedAgainAfterResaveAge(t *testing.T) {
	clock := newFakeClock()
	p := withStore(newTestPlacer(clock, 1), "r")
	completeRequest(p, mustChoose(t, p, sharedPrompt(1, 1, 1)))
	clock.advance(resaveAge + time.Second)
	if c := mustChoose(t, p, sharedPrompt(1, 1, 2)); c.SaveTo != storeAddress {
		t.Error("parts are not saved again after resaveAge")
	}
}
