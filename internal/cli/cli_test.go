package cli

import (
	"bytes"
	"strings"
	"testing"
)

// Guards the whole path: a caller's keyed, streamed request must reach an
// engine and come back complete.
func TestDemoStreamsACompleteAnswer(t *testing.T) {
	var out, errOut bytes.Buffer
	if code := Run([]string{"demo"}, &out, &errOut); code != ExitOK {
		t.Fatalf("exit code %d: %s", code, errOut.String())
	}
	if !strings.HasSuffix(out.String(), "data: [DONE]\n") {
		t.Fatalf("stream does not end with [DONE]:\n%s", out.String())
	}
}
