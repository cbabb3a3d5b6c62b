package edge

import (
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/cuminwing/cuminwing/internal/canary"
	"github.com/cuminwing/cuminwing/internal/exposure"
	"github.com/cuminwing/cuminwing/internal/fleet"
	followv1 "github.com/cuminwing/cuminwing/proto/follow/v1"
)

const (
	// maxReportedSamples limits the samples of one service in a report. It is more than a
	// front keeps.
	maxReportedSamples = 1024
	// maxClassBytes limits the name of a class in a report.
	maxClassBytes = 256
)

// checkRolloutReports returns an error if what a front reports of rollouts cannot be used.
func checkRolloutReports(report *followv1.FrontReport) error {
	if n := len(report.GetRollouts()); n > fleet.MaxRollouts {
		return errors.Newf("the report has %d rollouts, at most %d are allowed", n, fleet.MaxRollouts)
	}
	if !isInterval(report.GetConfirmedAgeMs()) {
		return errors.Newf("the report has a state that was confirmed %v ms ago", report.GetConfirmedAgeMs())
	}
	for _, r := range report.GetRollouts() {
		if n := len(r.GetSamples()); n > maxReportedSamples {
			return errors.Newf("the report on a rollout has %d samples, at most %d are allowed", n, maxReportedSamples)
		}
		for _, s := range r.GetSamples() {
			if len(s.GetFirstByte()) > canary.Buckets || len(s.GetInterval()) > canary.Buckets || len(s.GetClass()) > maxClassBytes || s.GetFailures() > s.GetRequests() {
				return errors.New("the report on a rollout has a sample that cannot be used")
			}
		}
	}
	return nil
}

// className returns the name of a class as it is reported.
func className(name string) string {
	return strings.ToValidUTF8(name[:min(len(name), maxClassBytes)], "")
}

// encodeSamples adds the samples of a batch to the report on its rollout.
func encodeSamples(reports []*followv1.RolloutReport, b *exposure.Batch) []*followv1.RolloutReport {
	i := slices.IndexFunc(reports, func(r *followv1.RolloutReport) bool {
		return r.GetService() == b.Service && r.GetOrder() == b.Order
	})
	if i < 0 {
		// The rollout has ended or is a later one, so that nobody needs the samples.
		return reports
	}
	for j := range b.Samples {
		s := &b.Samples[j]
		reports[i].Samples = append(reports[i].Samples, &followv1.RolloutSample{
			Class: s.Class, Canary: s.Cohort == canary.Canary, Sent: s.Sent, Requests: s.Requests, Failures: s.Failures,
			FirstByte: withoutEmptyEnd(s.FirstByte[:]), Interval: withoutEmptyEnd(s.Interval[:]),
		})
	}
	return reports
}

func withoutEmptyEnd(histogram []uint32) []uint32 {
	n := len(histogram)
	for n > 0 && histogram[n-1] == 0 {
		n--
	}
	return slices.Clone(histogram[:n])
}

// decodeSamples returns the samples of a report that checkRolloutReports has accepted.
func decodeSamples(list []*followv1.RolloutSample) []canary.Sample {
	samples := make([]canary.Sample, 0, len(list))
	for _, e := range list {
		s := canary.Sample{Class: e.GetClass(), Cohort: canary.Baseline, Sent: e.GetSent(), Requests: e.GetRequests(), Failures: e.GetFailures()}
		if e.GetCanary() {
			s.Cohort = canary.Canary
		}
		copy(s.FirstByte[:], e.GetFirstByte())
		copy(s.Interval[:], e.GetInterval())
		samples = append(samples, s)
	}
	return samples
}
