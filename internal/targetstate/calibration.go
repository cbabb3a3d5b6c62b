package targetstate

import "time"

const (
	// calibrationHalfLife is the half-life of the agreement of expectations with responses.
	// An expectation is certain if at least minAgreement of the time expected recently
	// has passed, over at least minAgreements responses.
	calibrationHalfLife = 1500 * time.Millisecond
	minAgreement        = 0.7
	minAgreements       = 3.0
	// agreeingFraction is the fraction of the expected time from which a response agrees.
	agreeingFraction = 0.5
)

// calibration compares expectations of one priority with responses. Each counts with its time,
// so that short waits say little about long ones.
type calibration struct{ agreeingMS, contradictingMS, agreements decaying }

// recordAnswer records a first byte. The time that has passed until then agrees with
// expectations of that length, and the part of a longer expectation that has not passed
// contradicts them.
func (c *calibration) recordAnswer(now time.Time, expectedMS, ageMS float64) {
	c.agree(now, ageMS)
	if ageMS < agreeingFraction*expectedMS {
		c.contradictingMS.add(now, calibrationHalfLife, expectedMS-ageMS)
	}
}

// agree records that a time has passed without a first byte, as was expected.
func (c *calibration) agree(now time.Time, passedMS float64) {
	c.agreeingMS.add(now, calibrationHalfLife, passedMS)
	c.agreements.add(now, calibrationHalfLife, 1)
}

// supports reports whether recent responses agree with expectations of the given time.
func (c *calibration) supports(now time.Time, expectedMS float64) bool {
	agreeing := c.agreeingMS.at(now, calibrationHalfLife)
	all := agreeing + c.contradictingMS.at(now, calibrationHalfLife)
	return agreeing >= expectedMS && agreeing >= minAgreement*all && c.agreements.at(now, calibrationHalfLife) >= minAgreements
}

// Certain reports whether it is certain that a request of a priority has no first byte before
// the given time: recent responses to requests of that priority agree with it, or several
// requests at the target have waited for a good part of that time already.
func (t *Target) Certain(now time.Time, priority int, ms float64) bool {
	if t.group.calibration[level(priority)].supports(now, ms) {
		return true
	}
	waiting := 0.0
	for _, a := range t.waiting {
		if !a.suspected && a.work.Priority <= priority && a.ageMS(now) >= agreeingFraction*ms {
			waiting++
		}
	}
	return waiting >= minAgreements
}
