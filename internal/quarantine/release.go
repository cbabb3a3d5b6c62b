package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// ObserveQuarantine notes since when the quarantined requests and parts are known to be.
func (t *Tracker) ObserveQuarantine(now time.Duration) {
	for suspect := range t.quarantined {
		if _, known := t.quarantinedSince[suspect]; !known {
			t.quarantinedSince[suspect] = now
		}
	}
	for suspect := range t.quarantinedSince {
		if !t.quarantined[suspect] {
			delete(t.quarantinedSince, suspect)
			delete(t.cleared, suspect)
		}
	}
}

// IsRefuted reports whether a request or part has completed after all its crashes, so that it
// must not be quarantined because of them.
func (t *Tracker) IsRefuted(suspect string) bool {
	e := t.suspects[suspect]
	return e != nil && e.isRefuted()
}

// QuarantineOver returns the sorted requests and parts that were quarantined long enough.
func (t *Tracker) QuarantineOver(now time.Duration) []string {
	var over []string
	for suspect, since := range t.quarantinedSince {
		if now-since >= Time {
			over = append(over, suspect)
		}
	}
	slices.Sort(over)
	return over
}

// latestQuarantined returns up to maxSuspects of the quarantined requests and parts, those
// that were quarantined last.
func (t *Tracker) latestQuarantined() []string {
	list := slices.SortedFunc(maps.Keys(t.quarantinedSince), func(a, b string) int {
		return cmp.Or(cmp.Compare(t.quarantinedSince[b], t.quarantinedSince[a]), cmp.Compare(a, b))
	})
	return list[:min(len(list), maxSuspects)]
}
