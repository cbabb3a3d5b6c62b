package cli

import (
	"bytes"
	"strings"
	"testing"
)

// Tests the path end to end: a streaming request with a caller key must reach
// an engine, and the response must be complete.
func TestDemoStreamsCompleteResponse(t *testing.T) {
	var out, errOut bytes.Buffer
	if code := Run([]string{"demo"}, &out, &errOut); code != ExitOK {
		t.Fatalf("exit code %d: %s", code, errOut.String())
	}
	if !strings.HasSuffix(out.String(), "data: [DONE]\n") {
		t.Fatalf("stream does not end with [DONE]:\n%s", out.String())
	}
}
