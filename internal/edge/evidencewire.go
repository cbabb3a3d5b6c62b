package edge

import (
	"math"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cuminwing/cuminwing/internal/quarantine"
	followv1 "github.com/cuminwing/cuminwing/proto/follow/v1"
)

const (
	// maxReportedCrashes limits the pieces of crashes in one report.
	maxReportedCrashes = 256
	// maxSuspectBytes limits the names of suspects. Fronts of the version before send names of
	// parts that are longer than those in the evidence.
	maxSuspectBytes = 256
	// maxPartPosition limits the number of parts before one in a prompt.
	maxPartPosition = 1 << 24
)

// checkEvidence returns an error if the evidence on crashes cannot be used.
func checkEvidence(report *followv1.FrontReport) error {
	if len(report.GetCrashes()) > maxReportedCrashes || len(report.GetCompletions()) > quarantine.MaxReportedCompletions {
		return errors.New("the report has too many crashes or completions")
	}
	for _, c := range report.GetCrashes() {
		if !isAge(c.GetAgeMs()) || slices.ContainsFunc(c.GetRequests(), isUnusableRequest) {
			return errors.Newf("the report on the crash of %q cannot be used", c.GetEngine())
		}
	}
	for _, c := range report.GetCompletions() {
		if !isAge(c.GetAgeMs()) || isLongName(c.GetSuspect()) {
			return errors.Newf("the report on a completion of age %v ms cannot be used", c.GetAgeMs())
		}
	}
	return nil
}

// isUnusableRequest reports whether a broken request cannot be evidence.
func isUnusableRequest(r *followv1.BrokenRequest) bool {
	return !isAge(r.GetSentAgeMs()) || !quarantine.IsRequestKey(r.GetKey()) || isLongName(r.GetKey()) || hasUnusableParts(r)
}

// hasUnusableParts reports whether the parts of a broken request, or what is said of them, cannot
// be evidence.
func hasUnusableParts(r *followv1.BrokenRequest) bool {
	parts, positions, ages := len(r.GetParts()), len(r.GetPositions()), len(r.GetCompletedAgesMs())
	return parts > quarantine.MaxChunkParts || positions != 0 && positions != parts || ages != 0 && ages != parts ||
		slices.ContainsFunc(r.GetParts(), isUnusablePart) ||
		slices.ContainsFunc(r.GetPositions(), func(position uint32) bool { return position > maxPartPosition })
}

// isUnusablePart reports whether the name of a part is too long or looks like a request.
func isUnusablePart(name string) bool { return isLongName(name) || quarantine.IsRequestKey(name) }

func isLongName(name string) bool { return len(name) > maxSuspectBytes }

// isAge reports whether a number of milliseconds can be the age of an event.
func isAge(ms float64) bool { return ms >= 0 && ms <= float64(24*time.Hour/time.Millisecond) }

// encodeEvidence adds the evidence of a front to its report.
func encodeEvidence(report *followv1.FrontReport, r quarantine.Report, now time.Duration) {
	for _, c := range r.Crashes {
		crash := &followv1.EngineCrash{Engine: c.Engine, AgeMs: milliseconds(now - c.At)}
		for _, request := range c.Requests {
			crash.Requests = append(crash.Requests, encodeBrokenRequest(request, now))
		}
		report.Crashes = append(report.Crashes, crash)
	}
	for _, c := range r.Completions {
		report.Completions = append(report.Completions, &followv1.Completion{Suspect: c.Suspect, AgeMs: milliseconds(now - c.At)})
	}
}

func encodeBrokenRequest(r quarantine.BrokenRequest, now time.Duration) *followv1.BrokenRequest {
	broken := &followv1.BrokenRequest{Key: r.Key, Resent: r.Resent}
	broken.KeyCompletedAgeMs = encodeCompletion(r.CompletedAt, now)
	ages := make([]uint32, len(r.Parts))
	for i, part := range r.Parts {
		broken.Parts = append(broken.Parts, part.ID)
		broken.Positions = append(broken.Positions, uint32(min(part.Position, maxPartPosition)))
		ages[i] = encodeCompletion(part.CompletedAt, now)
	}
	if slices.Max(append(ages, 0)) > 0 {
		broken.CompletedAgesMs = ages
	}
	if r.SentAt > 0 {
		broken.SentAgeMs = milliseconds(now - r.SentAt)
	}
	return broken
}

// encodeCompletion returns the age of a completion in milliseconds plus 1; 0 if there is none. It is
// rounded up, as a completion must not seem to follow a crash that it preceded.
func encodeCompletion(at, now time.Duration) uint32 {
	if at == 0 {
		return 0
	}
	return 1 + uint32(math.Ceil(milliseconds(max(now-at, 0))))
}

// decodeCompletion returns the time of a completion; 0 if there is none.
func decodeCompletion(age uint32, now time.Duration) time.Duration {
	if age == 0 {
		return 0
	}
	return now - time.Duration(age-1)*time.Millisecond
}

// decodeCrash decodes a crash that a front has reported at now.
func decodeCrash(c *followv1.EngineCrash, now time.Duration) quarantine.Crash {
	crash := quarantine.Crash{Engine: c.GetEngine(), At: now - fromMilliseconds(c.GetAgeMs())}
	for _, r := range c.GetRequests() {
		crash.Requests = append(crash.Requests, decodeBrokenRequest(r, now))
	}
	return crash
}

func decodeBrokenRequest(r *followv1.BrokenRequest, now time.Duration) quarantine.BrokenRequest {
	request := quarantine.BrokenRequest{Key: r.GetKey(), Resent: r.GetResent()}
	request.CompletedAt = decodeCompletion(r.GetKeyCompletedAgeMs(), now)
	positions, ages := r.GetPositions(), r.GetCompletedAgesMs()
	for i, name := range r.GetParts() {
		part := quarantine.Part{ID: quarantine.ReportedID(name), Position: i}
		if len(positions) > 0 {
			part.Position = int(positions[i])
		}
		if len(ages) > 0 {
			part.CompletedAt = decodeCompletion(ages[i], now)
		}
		request.Parts = append(request.Parts, part)
	}
	if r.GetSentAgeMs() > 0 {
		request.SentAt = now - fromMilliseconds(r.GetSentAgeMs())
	}
	return request
}
