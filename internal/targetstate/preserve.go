package targetstate

import "time"

// Preserve returns a function that undoes what Review changes in the meantime, so that it can be
// asked what a request would meet now.
func (g *Group) Preserve() (restore func()) {
	type kept struct {
		reported  time.Time
		suspected []bool
	}
	group, targets := *g, make([]kept, len(g.targets))
	for i, t := range g.targets {
		targets[i].reported = t.suspicionReported
		for _, a := range t.waiting {
			targets[i].suspected = append(targets[i].suspected, a.suspected)
		}
	}
	g.answerTimes = nil
	return func() {
		*g = group
		for i, t := range g.targets {
			t.suspicionReported = targets[i].reported
			for n, a := range t.waiting {
				a.suspected = targets[i].suspected[n]
			}
		}
	}
}

// LoadSeen returns when the known work at the target changed last, by a request of this or of
// another process, and AnswerSeen when its latest first byte arrived. They are zero at first.
func (t *Target) LoadSeen() time.Time { return t.backlog.at }

// AnswerSeen returns when the latest first byte of the target arrived.
func (t *Target) AnswerSeen() time.Time { return t.answeredAt }

// WaitsMS returns the parts of MS that the request waits for memory or a slot, and that earlier
// requests waited beyond what is known.
func (e Expectation) WaitsMS() (memory, wait float64) { return e.admissionMS, e.waitMS }
