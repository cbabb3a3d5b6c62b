package cli

import (
	"strings"
	"testing"
)

const frontLog = `  1.5 front-1 {"level":"info","ts":"2026-01-02T10:00:01.000Z","msg":"document in force","version":7}
{"level":"info","ts":"2026-01-02T10:00:05.000Z","msg":"core lost","asked":"10.0.0.1:7600"}
{"level":"info","ts":"2026-01-02T10:00:06.000Z","msg":"request","id":"other","outcome":"ok"}
{"level":"info","ts":"2026-01-02T10:00:09.900Z","msg":"request","id":"r1","outcome":"keys_not_confirmed","confirmed_age":4700}
line of another program
{"level":"info","ts":"2026-01-02T10:00:12.000Z","msg":"core regained","leader":"10.0.0.2:7600"}
`

const coreLog = `{"level":"info","ts":"2026-01-02T10:00:05.800Z","msg":"control log changed","role":"leader","term":4}
{"level":"info","ts":"2026-01-02T09:59:00.000Z","msg":"control log changed","role":"follower","term":3}
`

// Scenario: a request is refused because of its key after a state change.
// Guards against a timeline that omits the cause although the logs contain it.
func TestExplainShowsStateChangesBeforeRefusal(t *testing.T) {
	front, err := parseLog("front-1.log", strings.NewReader(frontLog))
	if err != nil {
		t.Fatal(err)
	}
	core, err := parseLog("core-1.log", strings.NewReader(coreLog))
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, line := range requestTimeline(append(core[:1:1], front...), "r1") {
		got = append(got, line.msg)
	}
	want := "control log changed,document in force,core lost,request"
	if text := strings.Join(got, ","); text != want {
		t.Errorf("timeline is %s, want %s", text, want)
	}
	if lines := requestTimeline(front, "unknown"); lines != nil {
		t.Errorf("timeline of an unknown request has %d lines, want none", len(lines))
	}
	if text := front[3].text(); text != "10:00:09.900 front-1.log request confirmed_age=4700 id=r1 outcome=keys_not_confirmed" {
		t.Errorf("log line formatted as %q", text)
	}
}
