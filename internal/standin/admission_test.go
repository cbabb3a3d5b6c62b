package standin

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"testing"
	"time"
)

// admissionAnswer is what one answer of an engine says about the requests that it accepts.
type admissionAnswer struct {
	status int
	// pause is the pause in seconds; -1 if the answer asks for none.
	pause       float64
	leaving     bool
	notExecuted bool
	// reused is set if the request was sent on the connection of an earlier one.
	reused bool
}

// leavingHeader and notRunHeader are the headers that the engines of these tests use.
const (
	leavingHeader = "Leaving"
	notRunHeader  = "Not-Run"
)

// askEngine sends requests one after the other to an engine.
func askEngine(t *testing.T, options AdmissionOptions, requests int) []admissionAnswer {
	t.Helper()
	options.NotRunHeader = notRunHeader
	e, err := StartEngine("127.0.0.1:0", EngineOptions{ID: "e", Zone: "a", Region: "r", Model: "m", Version: "v", Admission: options})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Close)
	client := &http.Client{Transport: &http.Transport{}}
	t.Cleanup(client.CloseIdleConnections)
	var answers []admissionAnswer
	for range requests {
		answers = append(answers, askOnce(t, client, e))
	}
	return answers
}

func askOnce(t *testing.T, client *http.Client, e *Engine) admissionAnswer {
	t.Helper()
	answer := admissionAnswer{pause: -1}
	ctx := httptrace.WithClientTrace(context.Background(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { answer.reused = info.Reused },
	})
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, e.URL()+"/v1/completions", strings.NewReader(`{"max_tokens":1,"prompt":"p"}`))
	if err != nil {
		t.Fatal(err)
	}
	response, err := client.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		t.Fatal(err)
	}
	answer.status = response.StatusCode
	if text := response.Header.Get(headerRetryAfter); text != "" {
		if answer.pause, err = strconv.ParseFloat(text, 64); err != nil {
			t.Fatal(err)
		}
	}
	answer.leaving = response.Header.Get(leavingHeader) == "1"
	answer.notExecuted = response.Header.Get(notRunHeader) != ""
	return answer
}

// Guards against simulated engines that do not refuse, pause or leave as configured, that
// close connections with that, or that state a pause outside its bounds.
func TestEngineKeepsRequestsAway(t *testing.T) {
	const short, long = 200 * time.Millisecond, 30 * time.Second
	for name, c := range map[string]struct {
		options AdmissionOptions
		status  int
		paused  bool
		leaving bool
	}{
		"accepts":             {AdmissionOptions{LeavingHeader: leavingHeader, LeaveChance: 1}, 200, false, false},
		"pauses":              {AdmissionOptions{RefuseChance: 1, PauseChance: 1, MinPause: short, MaxPause: long}, 503, true, false},
		"refuses":             {AdmissionOptions{RefuseChance: 1, MinPause: short, MaxPause: long}, 503, false, false},
		"leaves while paused": {AdmissionOptions{RefuseChance: 1, PauseChance: 1, MinPause: short, MaxPause: long, LeaveChance: 1, LeavingHeader: leavingHeader}, 503, true, true},
		"leaves silently":     {AdmissionOptions{RefuseChance: 1, LeaveChance: 1}, 503, false, false},
	} {
		for i, answer := range askEngine(t, c.options, 20) {
			if answer.status != c.status || answer.leaving != c.leaving || answer.notExecuted != (c.status == 503) {
				t.Errorf("%s: answer %+v, want status %d, leaving %v", name, answer, c.status, c.leaving)
			}
			if inBounds := answer.pause >= short.Seconds() && answer.pause <= long.Seconds(); inBounds != c.paused || !c.paused && answer.pause >= 0 {
				t.Errorf("%s: pause of %v s, want one between %v and %v: %v", name, answer.pause, short, long, c.paused)
			}
			if i > 0 && !answer.reused {
				t.Errorf("%s: the connection was closed after answer %d", name, i)
			}
		}
	}
}

// Guards against an engine that leaves without saying so in its announcements, or in its
// responses to requests that it still accepts.
func TestLeavingEngineServesAndSaysSo(t *testing.T) {
	e, err := StartEngine("127.0.0.1:0", EngineOptions{ID: "e", Zone: "a", Region: "r", Model: "m", Version: "v", Admission: AdmissionOptions{LeavingHeader: leavingHeader}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Close)
	client := &http.Client{Transport: &http.Transport{}}
	t.Cleanup(client.CloseIdleConnections)
	if answer := askOnce(t, client, e); answer.leaving || e.announcement().Leaving {
		t.Errorf("answer %+v and announcement say that the engine leaves before it does", answer)
	}
	e.AnnounceLeaving()
	if answer := askOnce(t, client, e); !answer.leaving || answer.status != http.StatusOK || !e.announcement().Leaving {
		t.Errorf("answer %+v, announced %v; want a served request and both say that the engine leaves", answer, e.announcement().Leaving)
	}
}
