package stream

import (
	"errors"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

const incarnation = 7

// Guards against duplicated, missing or foreign tokens after retries. For any
// sequence of attempts, with lost, overlapping and foreign events, the
// delivered text must be a prefix of the expected response, and equal to it
// once the tracker reports it as finished.
func TestDeliveredTextIsAPrefix(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		words := rapid.SliceOfN(rapid.StringMatching(`[a-c]{1,3} `), 1, 40).Draw(t, "response")
		tracker := NewTracker("r", 1)
		var got strings.Builder
		for range rapid.IntRange(1, 6).Draw(t, "attempts") {
			playAttempt(t, tracker, words, &got)
			if !strings.HasPrefix(strings.Join(words, ""), got.String()) {
				t.Fatalf("delivered %q, want a prefix of %q", got.String(), words)
			}
		}
		if tracker.Finished() && got.String() != strings.Join(words, "") {
			t.Fatalf("tracker is finished after %q, want %q", got.String(), words)
		}
	})
}

// playAttempt sends the events of one attempt, which starts between one token
// after and four tokens before the next token to deliver. It ends at an error,
// at the end of the response or at a random event.
func playAttempt(t *rapid.T, tracker *Tracker, words []string, got *strings.Builder) {
	tracker.BeginAttempt()
	offset := max(0, tracker.Delivered()-rapid.IntRange(-1, 4).Draw(t, "overlap"))
	for offset <= len(words) {
		n := min(rapid.IntRange(0, 3).Draw(t, "tokens"), len(words)-offset)
		e := Event{RequestID: "r", Incarnation: incarnation, Offset: offset, Tokens: n, Text: strings.Join(words[offset:offset+n], "")}
		if offset+n == len(words) {
			e.Finished = 1
		}
		switch rapid.IntRange(0, 12).Draw(t, "fault") {
		case 0:
			return
		case 1:
			e.RequestID = "other"
		case 2:
			e.Incarnation--
		}
		action, skip, err := tracker.Check(e, incarnation)
		if err != nil {
			return
		}
		if action != Drop {
			e.Text = e.Text[skip:]
			got.WriteString(e.Text)
			tracker.Commit(e)
		}
		if e.Finished > 0 {
			return
		}
		offset += n
	}
}

// Guards against resuming a response that its text does not fully describe. A
// resume from text alone would lose the rest, such as tool calls.
func TestOpaqueResponsesAreNotResumed(t *testing.T) {
	tracker := NewTracker("r", 1)
	tracker.BeginAttempt()
	tracker.Commit(Event{RequestID: "r", Tokens: 1, Opaque: true})
	if tracker.Resumable() {
		t.Error("a response with a tool call is resumable")
	}
	if _, _, err := tracker.Check(Event{RequestID: "r", Incarnation: incarnation, Offset: 2, Tokens: 1}, incarnation); !errors.Is(err, ErrGap) {
		t.Errorf("event that skips a token: error %v, want ErrGap", err)
	}
}

// Guards against panics on malformed events from targets.
func FuzzTrimText(f *testing.F) {
	f.Add([]byte(`{"choices":[{"index":0,"delta":{"content":"ab"}}]}`), 1)
	f.Add([]byte(`{"choices":[{"text":"ab"}]}`), 2)
	f.Fuzz(func(t *testing.T, data []byte, skip int) {
		_, _ = TrimText(data, skip)
	})
}
