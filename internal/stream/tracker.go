// Package stream decides which events of a target's stream are passed on to the
// caller. It checks the request ID, the incarnation and the token offset of
// each event, drops duplicates after a resume, and keeps the text that another
// engine needs to continue the response. The package does no I/O.
package stream

import (
	"bytes"

	"github.com/cockroachdb/errors"
)

// Event holds the properties of a stream event that the tracker checks.
type Event struct {
	// RequestID and Incarnation are as reported by the target.
	RequestID   string
	Incarnation uint64
	// Offset is the index of the first token in the response, Tokens the number
	// of tokens.
	Offset int
	Tokens int
	// Text is the generated text of the event.
	Text string
	// Finished is the number of choices that end with this event.
	Finished int
	// Usage is true for the event that reports token counts.
	Usage bool
	// Opaque is true if Text does not hold everything that the event adds to
	// the response, as with tool calls or several choices.
	Opaque bool
}

// Action is what to do with an event.
type Action int

// The actions.
const (
	// Deliver passes the event on unchanged.
	Deliver Action = iota
	// Trim passes the event on without the first bytes of its text, which the
	// caller already has.
	Trim
	// Drop discards the event.
	Drop
)

// Errors that end an attempt.
var (
	ErrGap           = errors.New("event skips tokens that were not delivered")
	ErrOverlap       = errors.New("event overlaps delivered tokens and cannot be trimmed")
	ErrForeignEvents = errors.New("target sent too many events of other requests or incarnations")
	ErrIncomplete    = errors.New("stream ended before every choice was finished")
)

const (
	// MaxResumeText limits the bytes of text kept per stream. A longer response
	// is still delivered but cannot be resumed.
	MaxResumeText = 256 << 10
	// maxEventStarts limits how many events back an overlapping event can
	// start.
	maxEventStarts = 32
	// maxForeignEvents limits the events of other requests or incarnations in
	// one attempt, because each of them defers the stall timeout.
	maxForeignEvents = 64
)

// eventStart maps the token offset at which a delivered event starts to its
// byte offset in the text.
type eventStart struct {
	tokenOffset int
	textOffset  int
}

// Tracker follows the response to one request across all attempts. It is not
// safe for concurrent use.
type Tracker struct {
	requestID string
	choices   int

	// delivered is the number of tokens passed on, text their text.
	delivered      int
	text           []byte
	eventStarts    []eventStart
	finished       int
	usageDelivered bool
	// opaque is true once text does not hold the whole response, so that
	// another engine cannot continue it.
	opaque bool

	// resumed, awaitingTokens and foreignEvents concern the current attempt.
	resumed        bool
	awaitingTokens bool
	foreignEvents  int
}

// NewTracker returns a tracker for a request that asks for the given number of
// choices.
func NewTracker(requestID string, choices int) *Tracker {
	return &Tracker{requestID: requestID, choices: max(choices, 1)}
}

// BeginAttempt resets the state of the current attempt.
func (t *Tracker) BeginAttempt() {
	t.resumed = t.delivered > 0
	t.awaitingTokens = true
	t.foreignEvents = 0
}

// Reset discards the response so far. It must be called only if the caller has
// received nothing of it.
func (t *Tracker) Reset() {
	*t = Tracker{requestID: t.requestID, choices: t.choices}
}

// Check decides what to do with an event of an attempt at the given
// incarnation. For Trim, skip is the number of text bytes that the caller
// already has. An error ends the attempt.
func (t *Tracker) Check(e Event, incarnation uint64) (action Action, skip int, err error) {
	if e.RequestID != t.requestID || e.Incarnation != incarnation {
		t.foreignEvents++
		if t.foreignEvents > maxForeignEvents {
			return Drop, 0, ErrForeignEvents
		}
		return Drop, 0, nil
	}
	if e.Offset > t.delivered {
		return Drop, 0, ErrGap
	}
	if e.Tokens == 0 {
		return t.checkTokenless(e), 0, nil
	}
	if e.Offset == t.delivered {
		return Deliver, 0, nil
	}
	if e.Offset+e.Tokens <= t.delivered && (e.Finished == 0 || t.Finished()) {
		return Drop, 0, nil
	}
	return t.checkOverlap(e)
}

// checkTokenless handles events without tokens: role announcements, finish
// events and usage reports.
func (t *Tracker) checkTokenless(e Event) Action {
	switch {
	case e.Usage && t.usageDelivered, e.Finished > 0 && t.Finished():
		return Drop
	case e.Usage, e.Finished > 0:
		return Deliver
	case t.resumed && t.awaitingTokens, e.Offset < t.delivered:
		// A resumed attempt announces the role again.
		return Drop
	}
	return Deliver
}

// checkOverlap handles events that start before the next token to deliver. An
// event without new tokens is passed on only for the end of a choice. Any other
// event must repeat the delivered text from a known event start.
func (t *Tracker) checkOverlap(e Event) (Action, int, error) {
	if t.opaque || e.Opaque {
		return Drop, 0, ErrOverlap
	}
	if e.Offset+e.Tokens <= t.delivered {
		return Trim, len(e.Text), nil
	}
	for _, start := range t.eventStarts {
		if start.tokenOffset != e.Offset {
			continue
		}
		deliveredText := t.text[start.textOffset:]
		if !bytes.HasPrefix([]byte(e.Text), deliveredText) {
			return Drop, 0, ErrOverlap
		}
		return Trim, len(deliveredText), nil
	}
	return Drop, 0, ErrOverlap
}

// Commit records an event that was passed on. Its text must already be trimmed.
func (t *Tracker) Commit(e Event) {
	t.usageDelivered = t.usageDelivered || e.Usage
	t.finished += e.Finished
	t.opaque = t.opaque || e.Opaque
	if e.Tokens == 0 {
		return
	}
	t.awaitingTokens = false
	if len(t.eventStarts) == maxEventStarts {
		copy(t.eventStarts, t.eventStarts[1:])
		t.eventStarts = t.eventStarts[:maxEventStarts-1]
	}
	t.eventStarts = append(t.eventStarts, eventStart{t.delivered, len(t.text)})
	t.delivered = max(t.delivered, e.Offset+e.Tokens)
	if t.opaque || len(t.text)+len(e.Text) > MaxResumeText {
		t.opaque = true
		t.text = nil
		t.eventStarts = nil
		return
	}
	t.text = append(t.text, e.Text...)
}

// Delivered returns the number of tokens passed on.
func (t *Tracker) Delivered() int { return t.delivered }

// Finished reports whether every choice has ended.
func (t *Tracker) Finished() bool { return t.finished >= t.choices }

// UsageDelivered reports whether the event with the token counts was passed on.
func (t *Tracker) UsageDelivered() bool { return t.usageDelivered }

// Resumable reports whether another engine can continue the response.
func (t *Tracker) Resumable() bool {
	return t.delivered == 0 && !t.opaque || !t.opaque && t.choices == 1
}

// Text returns the text of the delivered tokens.
func (t *Tracker) Text() string { return string(t.text) }
