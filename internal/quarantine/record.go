package quarantine

import (
	"maps"
	"slices"
	"time"
)

// EvidenceRecord is the evidence that a leader records for its successors. Times are Unix
// milliseconds by the clock of the leader that has recorded them.
type EvidenceRecord struct {
	// Crashes are the crashes by the time of their record, one for each report.
	Crashes []CrashRecord `json:"crashes,omitempty"`
	// Completions maps requests and parts in the crashes to the time when one last completed.
	Completions map[string]int64 `json:"completions,omitempty"`
}

// CrashRecord is the crash of an engine as one front has reported it.
type CrashRecord struct {
	Engine   string          `json:"engine"`
	At       int64           `json:"at"`
	Requests []RequestRecord `json:"requests"`
}

// RequestRecord is a request that broke off in a crash.
type RequestRecord struct {
	Key   string   `json:"key"`
	Parts []string `json:"parts,omitempty"`
	// Positions are the numbers of parts before each part in the prompt. They are missing if
	// the first parts are recorded, and in records of the version before.
	Positions []int `json:"positions,omitempty"`
	// SentAt is when the request was sent; 0 if that is not known.
	SentAt int64 `json:"sent_at,omitempty"`
	Resent bool  `json:"resent,omitempty"`
}

// Add returns the record with a further one added. It drops the oldest crashes over the limits.
func (r EvidenceRecord) Add(next EvidenceRecord) EvidenceRecord {
	crashes := slices.Concat(r.Crashes, next.Crashes)
	first, size := len(crashes), 0
	for first > 0 && len(crashes)-first < maxRecordedCrashes {
		size += crashes[first-1].bytes()
		if size > maxRecordedBytes {
			break
		}
		first--
	}
	sum := EvidenceRecord{Crashes: crashes[first:], Completions: make(map[string]int64)}
	names := sum.names()
	for _, completions := range []map[string]int64{r.Completions, next.Completions} {
		for suspect, at := range completions {
			if names[suspect] {
				sum.Completions[suspect] = max(sum.Completions[suspect], at)
			}
		}
	}
	return sum
}

// names returns the requests and parts in the crashes.
func (r EvidenceRecord) names() map[string]bool {
	names := make(map[string]bool)
	for _, c := range r.Crashes {
		for _, request := range c.Requests {
			names[request.Key] = true
			for _, part := range request.Parts {
				names[ReportedID(part)] = true
			}
		}
	}
	return names
}

// request returns the broken request without its times.
func (r *RequestRecord) request() BrokenRequest {
	request := BrokenRequest{Key: r.Key, Resent: r.Resent}
	for i, part := range r.Parts {
		position := i
		if i < len(r.Positions) {
			position = r.Positions[i]
		}
		request.Parts = append(request.Parts, Part{ID: ReportedID(part), Position: position})
	}
	return request
}

// bytes returns the size of the names in the crash.
func (c *CrashRecord) bytes() int {
	size := len(c.Engine)
	for _, r := range c.Requests {
		size += len(r.Key)
		for _, part := range r.Parts {
			size += len(part)
		}
	}
	return size
}

// unrecordedCrash is a crash that has to be recorded for the next leader.
type unrecordedCrash struct {
	id       crashID
	requests []BrokenRequest
}

// recordedCrash is what is recorded of a crash, or is about to be: its requests, and hashes of its
// parts.
type recordedCrash struct {
	requests map[string]bool
	parts    map[uint64]bool
}

// noteCrash notes what no record has of the requests of a crash.
func (t *Tracker) noteCrash(id crashID, at time.Duration, requests []BrokenRequest) {
	known := t.recorded[id]
	if known == nil {
		known = &recordedCrash{requests: make(map[string]bool), parts: make(map[uint64]bool)}
		t.recorded[id] = known
	}
	var added []BrokenRequest
	for _, r := range requests {
		isNew := !known.requests[r.Key] && len(known.requests) < maxRecordedRequests
		r.Parts = t.unrecordedParts(known, at, r.Parts)
		if isNew || len(r.Parts) > 0 {
			known.requests[r.Key] = true
			added = append(added, r)
		}
	}
	if len(added) > 0 {
		t.unrecorded = append(t.unrecorded, unrecordedCrash{id, added})
		t.unrecorded = t.unrecorded[max(len(t.unrecorded)-maxRecordedCrashes, 0):]
	}
}

// unrecordedParts returns the parts that have to be recorded for a crash. Those that have completed
// since do not count.
func (t *Tracker) unrecordedParts(known *recordedCrash, at time.Duration, parts []Part) []Part {
	var list []Part
	for _, part := range parts {
		limit := maxRecordedParts
		if t.suspects[part.ID] != nil {
			limit += maxRecordedSuspects
		}
		h := t.first.hash(part.ID)
		if !known.parts[h] && part.CompletedAt < at && len(known.parts) < limit {
			known.parts[h] = true
			list = append(list, part)
		}
	}
	return list
}

// Unrecorded is the evidence that has to be recorded next.
type Unrecorded struct {
	Record EvidenceRecord
	// crashes is the number of crashes in the record, and completions has the completions.
	crashes     int
	completions map[string]time.Duration
}

// IsEmpty reports whether nothing has to be recorded.
func (u *Unrecorded) IsEmpty() bool { return u.crashes == 0 && len(u.completions) == 0 }

// Unrecorded returns the crashes that have not been recorded, up to the size of one report, and
// the completions after which recorded crashes no longer count. wall is the time of day at now.
func (t *Tracker) Unrecorded(now time.Duration, wall time.Time) Unrecorded {
	milliseconds := func(at time.Duration) int64 { return wall.Add(at - now).UnixMilli() }
	u := Unrecorded{Record: EvidenceRecord{Completions: make(map[string]int64)}, completions: maps.Clone(t.unrecordedCompletions)}
	size := 0
	for _, c := range t.unrecorded {
		crash := c.record(milliseconds)
		if size += crash.bytes(); size > maxReportBytes && u.crashes > 0 {
			break
		}
		u.Record.Crashes = append(u.Record.Crashes, crash)
		u.crashes++
	}
	for suspect := range u.Record.names() {
		if e := t.suspects[suspect]; e != nil && e.hasCompleted() {
			u.completions[suspect] = e.lastCompletion
		}
	}
	for suspect, at := range u.completions {
		u.Record.Completions[suspect] = milliseconds(at)
	}
	return u
}

// record returns the record of a crash.
func (c *unrecordedCrash) record(milliseconds func(time.Duration) int64) CrashRecord {
	crash := CrashRecord{Engine: c.id.engine, At: milliseconds(c.id.at)}
	for _, r := range c.requests {
		request := RequestRecord{Key: r.Key, Resent: r.Resent}
		for _, part := range r.Parts {
			request.Parts, request.Positions = append(request.Parts, part.ID), append(request.Positions, part.Position)
		}
		if r.SentAt > 0 {
			request.SentAt = milliseconds(r.SentAt)
		}
		crash.Requests = append(crash.Requests, request)
	}
	return crash
}

// ConfirmRecorded notes that evidence has been recorded.
func (t *Tracker) ConfirmRecorded(u Unrecorded) {
	t.unrecorded = slices.Clone(t.unrecorded[min(u.crashes, len(t.unrecorded)):])
	for suspect, at := range u.completions {
		if t.unrecordedCompletions[suspect] <= at {
			delete(t.unrecordedCompletions, suspect)
		}
	}
}

// Restore adds the evidence that earlier leaders have recorded. wall is the time of day at now. It
// must be called before any crash is recorded.
func (t *Tracker) Restore(now time.Duration, wall time.Time, record EvidenceRecord) {
	since := func(ms int64) time.Duration { return now - max(wall.Sub(time.UnixMilli(ms)), 0) }
	for _, c := range record.Crashes {
		crash := Crash{Engine: c.Engine, At: since(c.At)}
		if now-crash.At > evidenceLifetime {
			continue
		}
		for _, r := range c.Requests {
			request := r.request()
			if r.SentAt > 0 {
				request.SentAt = since(r.SentAt)
			}
			crash.Requests = append(crash.Requests, request)
		}
		t.RecordCrash(now, crash)
	}
	for _, suspect := range slices.Sorted(maps.Keys(record.Completions)) {
		if at := since(record.Completions[suspect]); now-at <= evidenceLifetime {
			t.RecordCompletion(now, Completion{suspect, at})
		}
	}
	t.unrecorded, t.restoredAt = nil, now
	clear(t.unrecordedCompletions)
}
