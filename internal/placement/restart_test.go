package placement

import "testing"

// Guards against parts that are expected in the memory of an engine that has
// started again under its ID: prompts would be sent there in vain.
func TestRestartedEngineHasEmptyCache(t *testing.T) {
	p := New("a", "r", newFakeClock().read)
	list := testEngines(1, 1)
	list["model"][0].Started = 1
	p.Update(list)
	completeRequest(p, mustChoose(t, p, sharedPrompt(1, 1, 1)))
	list["model"][0].Started = 2
	p.Update(list)
	if c := mustChoose(t, p, sharedPrompt(1, 1, 2)); c.CachedTokens != 0 {
		t.Errorf("%d tokens are expected in the memory of an engine that has just started", c.CachedTokens)
	}
}

// Guards against an engine that refuses each request because the registry says
// that it runs newer weights than it does.
func TestReportedWeightsOutlastUnchangedRegistry(t *testing.T) {
	p := New("a", "r", newFakeClock().read)
	p.Update(testEngines(1, 5))
	c := mustChoose(t, p, sharedPrompt(1, 1, 1))
	p.SetWeights(c, 4)
	p.Done(c, Canceled)
	p.Update(testEngines(1, 5))
	if c := mustChoose(t, p, sharedPrompt(1, 1, 2)); c.Target.Weights != 4 {
		t.Errorf("the engine is expected to run %d, it has stated 4", c.Target.Weights)
	}
	p.Update(testEngines(1, 6))
	if c := mustChoose(t, p, sharedPrompt(1, 1, 3)); c.Target.Weights != 6 {
		t.Errorf("the engine is expected to run %d, the registry has changed to 6", c.Target.Weights)
	}
}
