package placement

import "testing"

// Guards against prompts that are placed at an engine because of parts that it
// cached before it restarted under the same ID: the restart has emptied its
// cache.
func TestRestartedEngineHasEmptyCache(t *testing.T) {
	p := New("a", "r", newFakeClock().read)
	list := testEngines(1, 1)
	list["model"][0].Started = 1
	p.Update(list)
	completeRequest(p, mustChoose(t, p, sharedPrompt(1, 1, 1)))
	list["model"][0].Started = 2
	p.Update(list)
	if c := mustChoose(t, p, sharedPrompt(1, 1, 2)); c.CachedTokens != 0 {
		t.Errorf("%d tokens count as cached at an engine that has just restarted, want 0", c.CachedTokens)
	}
}

// Guards against an engine that rejects each request because the registry has
// newer weights for it than it runs.
func TestReportedWeightsOutlastUnchangedRegistry(t *testing.T) {
	p := New("a", "r", newFakeClock().read)
	p.Update(testEngines(1, 5))
	c := mustChoose(t, p, sharedPrompt(1, 1, 1))
	p.SetWeights(c, 4)
	p.Done(c, Canceled)
	p.Update(testEngines(1, 5))
	if c := mustChoose(t, p, sharedPrompt(1, 1, 2)); c.Target.Weights != 4 {
		t.Errorf("placement has weights %d for the engine, which has reported 4", c.Target.Weights)
	}
	p.Update(testEngines(1, 6))
	if c := mustChoose(t, p, sharedPrompt(1, 1, 3)); c.Target.Weights != 6 {
		t.Errorf("placement has weights %d for the engine, the registry has changed to 6", c.Target.Weights)
	}
}
