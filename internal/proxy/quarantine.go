package proxy

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"time"

	"github.com/cuminwing/cuminwing/internal/quarantine"
)

// sharedParts returns the names of the parts of the prompt that other requests may
// share: all but the last one.
func (c *call) sharedParts() []string {
	var names []string
	for i := 0; i < len(c.request.Parts)-1; i++ {
		names = append(names, c.request.Parts[i].Name)
	}
	return names
}

// quarantineRequest returns the request as the quarantine knows it.
func (c *call) quarantineRequest() quarantine.Request {
	if c.key == "" {
		c.key = quarantine.RequestKey(c.digest())
	}
	return quarantine.Request{Key: c.key, Parts: c.sharedParts()}
}

// digestBytes is the length of the digest of a request.
const digestBytes = 8

// digest returns a digest of what a request and its repeats have in common: method, host,
// path with query, API key, shared parts of the prompt and body.
func (c *call) digest() string {
	h := sha256.New()
	fields := append([]string{c.r.Method, c.r.Host, c.requestURI(), c.request.APIKey}, c.sharedParts()...)
	for _, field := range fields {
		_ = binary.Write(h, binary.BigEndian, uint64(len(field)))
		h.Write([]byte(field))
	}
	h.Write(c.body)
	return hex.EncodeToString(h.Sum(nil)[:digestBytes])
}

// decide returns whether the request may reach a target.
func (c *call) decide() quarantine.Decision {
	if c.Quarantine == nil {
		return quarantine.Decision{}
	}
	return c.Quarantine.Decide(c.quarantineRequest())
}

// quarantined returns the refusal of a request that must not reach a target; nil if it
// may. It adds what is quarantined to the log entry of the request.
func (c *call) quarantined() *refusal {
	decision := c.decide()
	refused := errQuarantined
	switch {
	case decision.Verdict == quarantine.Admitted:
		return nil
	case decision.Verdict == quarantine.Suspected:
		c.addReason("the request is suspected of crashing targets: " + decision.Suspect)
		refused = errRequestSuspected
	case quarantine.IsRequestKey(decision.Suspect):
		c.addReason("the request is quarantined: " + decision.Suspect)
		refused = errRequestQuarantined
	default:
		c.addReason("part " + decision.Suspect + " of the prompt is quarantined")
	}
	refused.retryAfter = decision.RetryAfter
	return &refused
}

// endQuarantined ends a request that was quarantined after its admission.
func (c *call) endQuarantined(refused *refusal) *refusal {
	if c.headersSent || c.possibleRuns > 0 {
		return c.endFailed(&errTargetFailed)
	}
	return refused
}

// answerStartTime is how long after its first event an answer counts as begun. A request
// that crashes targets does so when its answer begins, so one whose answer has gone on for
// longer did not cause the crash.
const answerStartTime = 300 * time.Millisecond

// recordEvidence records what the result of an attempt says about the request.
func (c *call) recordEvidence(result result) {
	if c.Quarantine == nil {
		return
	}
	request := c.quarantineRequest()
	switch {
	case result == resultBroken && c.answerTime() < answerStartTime:
		c.Quarantine.RecordBroken(c.choice.Target, request, c.sentAt)
	case result != resultDelivered:
	case !c.succeeded:
		// An error response says nothing about the prompt, of which the target need not
		// have read anything.
		c.Quarantine.RecordCompletion(quarantine.Request{Key: request.Key})
	case c.endKnown:
		c.clearOfCrashes()
	case !c.cleared:
		c.Quarantine.RecordEnded(c.choice.Target, request, c.sentAt)
	}
}

// answerTime returns for how long the answer of the latest attempt has gone on, not counting
// the time in which the caller did not take it: the target may have crashed meanwhile.
func (c *call) answerTime() time.Duration {
	if c.firstEventAt.IsZero() {
		return 0
	}
	return time.Since(c.firstEventAt) - c.writeTime
}

// clearOfCrashes records that the request does not crash targets.
func (c *call) clearOfCrashes() {
	if c.Quarantine == nil || c.cleared {
		return
	}
	c.cleared = true
	c.Quarantine.RecordCompletion(c.quarantineRequest())
}
