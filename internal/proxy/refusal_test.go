package proxy

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// Guards against callers that are told to return before a pause ends, or at once, because
// the time is rounded down.
func TestRetryAfterIsRoundedUp(t *testing.T) {
	for wait, want := range map[time.Duration]string{
		time.Millisecond:          "0.01",
		10 * time.Millisecond:     "0.01",
		10*time.Millisecond + 1:   "0.02",
		500 * time.Millisecond:    "0.50",
		1234 * time.Millisecond:   "1.24",
		30*time.Second - 1:        "30.00",
		2070 * time.Millisecond:   "2.07",
		time.Hour + 1:             "3600.01",
		1200*time.Millisecond - 1: "1.20",
	} {
		recorder := httptest.NewRecorder()
		(&refusal{http.StatusServiceUnavailable, "test", wait}).write(recorder, "r")
		if got := recorder.Header().Get("Retry-After"); got != want {
			t.Errorf("Retry-After of %v is %q, want %q", wait, got, want)
		}
	}
}
