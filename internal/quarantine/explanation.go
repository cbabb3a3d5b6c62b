package quarantine

// causesByCrash maps crashes to the suspects that may have caused them.
type causesByCrash map[crashID][]string

// likelyCauses returns the suspects that have never completed and were in several crashes. What
// has completed did not crash its engine then, so each of these is the likelier cause of a crash
// that both were in.
func (t *Tracker) likelyCauses() causesByCrash {
	causes := make(causesByCrash)
	for suspect, e := range t.suspects {
		if !e.hasCompleted() && e.suspectedSince != 0 {
			causes.add(suspect, e)
		}
	}
	return causes
}

// quarantinedByCrash returns the quarantined suspects that were in each crash.
func (t *Tracker) quarantinedByCrash() causesByCrash {
	causes := make(causesByCrash)
	for suspect := range t.quarantined {
		if e := t.suspects[suspect]; e != nil {
			causes.add(suspect, e)
		}
	}
	return causes
}

func (causes causesByCrash) add(suspect string, e *evidence) {
	for _, s := range e.sightings {
		causes[s.crash] = append(causes[s.crash], suspect)
	}
}

// unexplained returns the crashes of a suspect without those that have a likelier cause.
func (causes causesByCrash) unexplained(e *evidence) []sighting {
	if !e.hasCompleted() {
		return e.sightings
	}
	return without(e.sightings, func(s sighting) bool { return len(causes[s.crash]) > 0 })
}
