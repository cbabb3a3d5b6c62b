package stream

import (
	"errors"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

const incarnation = 7

// Guards against doubled, missing or foreign tokens: whatever a sequence of
// engines sends, the delivered text is a prefix of the true answer, and the
// whole of it if the tracker says so.
func TestDeliveredTextIsAPrefix(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		words := rapid.SliceOfN(rapid.StringMatching(`[a-c]{1,3} `), 1, 40).Draw(t, "answer")
		tracker := NewTracker("r", 1)
		var got strings.Builder
		for range rapid.IntRange(1, 6).Draw(t, "attempts") {
			playAttempt(t, tracker, words, &got)
			if !strings.HasPrefix(strings.Join(words, ""), got.String()) {
				t.Fatalf("delivered %q of %q", got.String(), words)
			}
		}
		if tracker.Finished() && got.String() != strings.Join(words, "") {
			t.Fatalf("finished with %q of %q", got.String(), words)
		}
	})
}

// playAttempt sends events that start near the right offset until an error.
func playAttempt(t *rapid.T, tracker *Tracker, words []string, got *strings.Builder) {
	tracker.Begin()
	offset := max(0, tracker.Delivered()-rapid.IntRange(-1, 4).Draw(t, "early"))
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
		verdict, skip, err := tracker.Check(e, incarnation)
		if err != nil {
			return
		}
		if verdict != Drop {
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

// Guards against resumes that would cut an answer which text alone does not
// describe.
func TestOpaqueAnswersAreNotResumed(t *testing.T) {
	tracker := NewTracker("r", 1)
	tracker.Begin()
	tracker.Commit(Event{RequestID: "r", Tokens: 1, Opaque: true})
	if tracker.Resumable() {
		t.Error("an answer with a tool call was resumable")
	}
	if _, _, err := tracker.Check(Event{RequestID: "r", Incarnation: incarnation, Offset: 2, Tokens: 1}, incarnation); !errors.Is(err, ErrGap) {
		t.Errorf("skipped token: %v", err)
	}
}

// Guards against panics on events of targets that are not what they should be.
func FuzzTrimText(f *testing.F) {
	f.Add([]byte(`{"choices":[{"index":0,"delta":{"content":"ab"}}]}`), 1)
	f.Add([]byte(`{"choices":[{"text":"ab"}]}`), 2)
	f.Fuzz(func(t *testing.T, data []byte, skip int) {
		_, _ = TrimText(data, skip)
	})
}
