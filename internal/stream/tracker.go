// Package stream decides which events of a target's stream reach the caller.
// It checks the request ID, the incarnation and the token offset of each
// event, drops duplicates after a resume, and keeps what the next engine needs
// to continue. The package does no I/O.
package stream

import (
	"bytes"

	"github.com/cockroachdb/errors"
)

// Event is what the tracker needs to know of one event.
type Event struct {
	// RequestID and Incarnation are as stated by the target.
	RequestID   string
	Incarnation uint64
	// Offset is the index of the first token, Tokens their count.
	Offset int
	Tokens int
	// Text is the generated text.
	Text string
	// Finished is the number of choices that end with this event.
	Finished int
	// Usage is true for the event that reports token counts.
	Usage bool
	// Opaque is true if Text does not hold everything that the event adds to
	// the answer, as with tool calls or several choices.
	Opaque bool
}

// Verdict says what to do with an event.
type Verdict int

// The verdicts.
const (
	// Deliver passes the event on.
	Deliver Verdict = iota
	// Trim passes the event on without the first bytes of its text.
	Trim
	// Drop discards the event.
	Drop
)

// Errors that end an attempt.
var (
	ErrGap        = errors.New("event skips tokens")
	ErrOverlap    = errors.New("event overlaps delivered tokens and cannot be split")
	ErrCrossed    = errors.New("target keeps sending events of other requests")
	ErrIncomplete = errors.New("stream ended before the answer was finished")
)

const (
	// MaxResumeText bounds the text kept per stream. A longer answer is still
	// delivered but cannot be resumed.
	MaxResumeText = 256 << 10
	// maxMarks bounds how far back an overlapping event can start.
	maxMarks = 32
	// maxCrossed bounds how many foreign events one attempt may send, because
	// each of them defers the stall limit.
	maxCrossed = 64
)

// mark joins a token offset to the position in the text.
type mark struct {
	offset   int
	position int
}

// Tracker follows the answer to one request over all attempts. It is not safe
// for concurrent use.
type Tracker struct {
	requestID string
	choices   int

	delivered int
	text      []byte
	marks     []mark
	finished  int
	usage     bool
	opaque    bool

	resumed bool
	fresh   bool
	crossed int
}

// NewTracker returns a tracker for a request that asks for the given number
// of choices.
func NewTracker(requestID string, choices int) *Tracker {
	return &Tracker{requestID: requestID, choices: max(choices, 1)}
}

// Begin starts an attempt.
func (t *Tracker) Begin() {
	t.resumed = t.delivered > 0
	t.fresh = true
	t.crossed = 0
}

// Restart forgets the answer so far. It is only allowed if the caller has
// seen nothing of it.
func (t *Tracker) Restart() {
	*t = Tracker{requestID: t.requestID, choices: t.choices}
}

// Check judges an event of an attempt at the given incarnation. For Trim, skip
// is the number of text bytes that the caller already has.
func (t *Tracker) Check(e Event, incarnation uint64) (verdict Verdict, skip int, err error) {
	if e.RequestID != t.requestID || e.Incarnation != incarnation {
		t.crossed++
		if t.crossed > maxCrossed {
			return Drop, 0, ErrCrossed
		}
		return Drop, 0, nil
	}
	if e.Offset > t.delivered {
		return Drop, 0, ErrGap
	}
	if e.Tokens == 0 {
		return t.checkEmpty(e), 0, nil
	}
	if e.Offset == t.delivered {
		return Deliver, 0, nil
	}
	if e.Offset+e.Tokens <= t.delivered && (e.Finished == 0 || t.Finished()) {
		return Drop, 0, nil
	}
	return t.checkOverlap(e)
}

// checkEmpty judges events without tokens: role announcements, finish events
// and usage reports.
func (t *Tracker) checkEmpty(e Event) Verdict {
	switch {
	case e.Usage && t.usage, e.Finished > 0 && t.Finished():
		return Drop
	case e.Usage, e.Finished > 0:
		return Deliver
	case t.resumed && t.fresh, e.Offset < t.delivered:
		// A resumed attempt announces the role again.
		return Drop
	}
	return Deliver
}

func (t *Tracker) checkOverlap(e Event) (Verdict, int, error) {
	if t.opaque || e.Opaque {
		return Drop, 0, ErrOverlap
	}
	if e.Offset+e.Tokens <= t.delivered {
		return Trim, len(e.Text), nil
	}
	for _, m := range t.marks {
		if m.offset != e.Offset {
			continue
		}
		known := t.text[m.position:]
		if !bytes.HasPrefix([]byte(e.Text), known) {
			return Drop, 0, ErrOverlap
		}
		return Trim, len(known), nil
	}
	return Drop, 0, ErrOverlap
}

// Commit records an event that was passed on, with its text after trimming.
func (t *Tracker) Commit(e Event) {
	t.usage = t.usage || e.Usage
	t.finished += e.Finished
	t.opaque = t.opaque || e.Opaque
	if e.Tokens == 0 {
		return
	}
	t.fresh = false
	if len(t.marks) == maxMarks {
		copy(t.marks, t.marks[1:])
		t.marks = t.marks[:maxMarks-1]
	}
	t.marks = append(t.marks, mark{t.delivered, len(t.text)})
	t.delivered = max(t.delivered, e.Offset+e.Tokens)
	if t.opaque || len(t.text)+len(e.Text) > MaxResumeText {
		t.opaque = true
		t.text = nil
		t.marks = nil
		return
	}
	t.text = append(t.text, e.Text...)
}

// Delivered returns the number of tokens passed on.
func (t *Tracker) Delivered() int { return t.delivered }

// Finished reports whether every choice has ended.
func (t *Tracker) Finished() bool { return t.finished >= t.choices }

// UsageSeen reports whether the token counts were passed on.
func (t *Tracker) UsageSeen() bool { return t.usage }

// Resumable reports whether another engine can continue the answer.
func (t *Tracker) Resumable() bool {
	return t.delivered == 0 && !t.opaque || !t.opaque && t.choices == 1
}

// Text returns the text of the delivered tokens.
func (t *Tracker) Text() string { return string(t.text) }
