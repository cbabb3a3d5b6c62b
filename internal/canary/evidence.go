package canary

import (
	"fmt"
	"strings"
	"time"
)

// counts sums the samples of one class and cohort.
type counts struct {
	sent, requests, failures uint64
	firstByte, interval      [Buckets]uint32
}

func (c *counts) add(s *Sample) {
	c.sent += uint64(s.Sent)
	c.requests += uint64(s.Requests)
	c.failures += uint64(min(s.Failures, s.Requests))
	for i := range Buckets {
		c.firstByte[i] += s.FirstByte[i]
		c.interval[i] += s.Interval[i]
	}
}

func (c *counts) merge(o *counts) {
	c.sent += o.sent
	c.requests += o.requests
	c.failures += o.failures
	for i := range Buckets {
		c.firstByte[i] += o.firstByte[i]
		c.interval[i] += o.interval[i]
	}
}

func (c *counts) evidence() CohortEvidence {
	e := CohortEvidence{Requests: c.requests, FirstByte: median(&c.firstByte), Interval: median(&c.interval)}
	if c.requests > 0 {
		e.FailureRate = float64(c.failures) / float64(c.requests)
	}
	return e
}

// CohortEvidence is what the samples of one class and cohort show.
type CohortEvidence struct {
	Requests uint64
	// FailureRate is the share of the ended requests that failed.
	FailureRate float64
	// FirstByte and Interval are medians, rounded up to a bucket limit; 0 means
	// none.
	FirstByte, Interval time.Duration
}

// ClassEvidence is the evidence of one class.
type ClassEvidence struct {
	Class            string
	Baseline, Canary CohortEvidence
}

// Evidence is the evidence of all classes, ordered by name.
type Evidence []ClassEvidence

// String returns the evidence on one line for logs.
func (e Evidence) String() string {
	parts := make([]string, len(e))
	for i, c := range e {
		parts[i] = fmt.Sprintf("%s: baseline %s, canary %s", c.Class, c.Baseline, c.Canary)
	}
	return strings.Join(parts, "; ")
}

// String returns the evidence of one cohort for logs.
func (c CohortEvidence) String() string {
	return fmt.Sprintf("%d requests, %.3f failed, first byte %v, interval %v", c.Requests, c.FailureRate,
		c.FirstByte.Round(100*time.Microsecond), c.Interval.Round(100*time.Microsecond))
}

// Evidence returns, per class and cohort, what the samples show since the
// analysis was created.
func (a *Analysis) Evidence() Evidence {
	evidence := make(Evidence, 0, len(a.classes))
	for _, c := range a.classes {
		var sums [cohorts]counts
		for i := range c.slots {
			for cohort := range sums {
				sums[cohort].merge(&c.slots[i].counts[cohort])
			}
		}
		evidence = append(evidence, ClassEvidence{Class: c.name, Baseline: sums[Baseline].evidence(), Canary: sums[Canary].evidence()})
	}
	return evidence
}

// median returns the limit of the bucket that holds the median, 0 without
// values.
func median(h *[Buckets]uint32) time.Duration {
	return quantile(h, 0.5)
}

// quantile returns the limit of the bucket that holds the q-quantile, 0 without
// values.
func quantile(h *[Buckets]uint32, q float64) time.Duration {
	rank := q * float64(sum(h))
	seen := 0.0
	for i, n := range h {
		seen += float64(n)
		if n > 0 && seen >= rank {
			return BucketLimit(i)
		}
	}
	return 0
}

func sum(h *[Buckets]uint32) uint64 {
	total := uint64(0)
	for _, n := range h {
		total += uint64(n)
	}
	return total
}
