package callerhttp

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/cuminwing/cuminwing/internal/config"
	"github.com/cuminwing/cuminwing/internal/serving"
)

// Guards against non-streaming responses that lose tool calls, choices, log
// probabilities or token counts while they are assembled from events.
func TestNonStreamingResponseKeepsEverything(t *testing.T) {
	sink := &aggregateSink{call: &serving.Call{Path: "/v1/chat/completions"}}
	for _, data := range []string{
		`{"id":"x","object":"chat.completion.chunk","created":5,"model":"m","system_fingerprint":"fp","choices":[{"index":0,"delta":{"role":"assistant","content":""}}]}`,
		`{"choices":[{"index":0,"delta":{"content":"a"},"logprobs":{"content":[{"token":"a"}]}},{"index":1,"delta":{"content":"c"}}],"usage":null}`,
		`{"choices":[{"index":0,"delta":{"content":"b"},"logprobs":{"content":[{"token":"b"}]}}]}`,
		`{"choices":[{"index":1,"delta":{"tool_calls":[{"index":0,"id":"t0","type":"function","function":{"name":"grade","arguments":"{\"a\""}}]}}]}`,
		`{"choices":[{"index":1,"delta":{"tool_calls":[{"index":0,"function":{"arguments":":1}"}}]},"finish_reason":"tool_calls"}]}`,
		`{"choices":[{"index":0,"delta":{},"finish_reason":"stop"}]}`,
		`{"choices":[],"usage":{"prompt_tokens":7,"completion_tokens":3,"total_tokens":10,"prompt_tokens_details":{"cached_tokens":4}}}`,
	} {
		if err := sink.Chunk(serving.Chunk{Data: []byte(data)}); err != nil {
			t.Fatal(err)
		}
	}
	body, err := sink.assemble()
	if err != nil {
		t.Fatal(err)
	}
	var got, want any
	_ = json.Unmarshal(body, &got)
	_ = json.Unmarshal([]byte(`{"id":"x","object":"chat.completion","created":5,"model":"m","system_fingerprint":"fp","choices":[
		{"index":0,"finish_reason":"stop","logprobs":{"content":[{"token":"a"},{"token":"b"}]},"message":{"role":"assistant","content":"ab","refusal":null}},
		{"index":1,"finish_reason":"tool_calls","logprobs":null,"message":{"role":"assistant","content":"c","refusal":null,"tool_calls":[{"id":"t0","type":"function","function":{"name":"grade","arguments":"{\"a\":1}"}}]}}],
		"usage":{"prompt_tokens":7,"completion_tokens":3,"total_tokens":10,"prompt_tokens_details":{"cached_tokens":4}}}`), &want)
	gotText, _ := json.Marshal(got)
	wantText, _ := json.Marshal(want)
	if string(gotText) != string(wantText) {
		t.Errorf("got  %s\nwant %s", gotText, wantText)
	}
}

// Guards against options in the caller's request that are dropped when the
// request body is rewritten for the engine.
func TestEngineBodyKeepsOptions(t *testing.T) {
	body, err := engineBody([]byte(`{"model":"m","stream":false,"temperature":0.5,"stream_options":{"include_obfuscation":false},"tools":[{"type":"function"}]}`))
	var got map[string]any
	if err != nil || json.Unmarshal(body, &got) != nil {
		t.Fatal(err, string(body))
	}
	options, _ := got["stream_options"].(map[string]any)
	if got["stream"] != true || got["temperature"] != 0.5 || got["tools"] == nil || options["include_usage"] != true || options["include_obfuscation"] != false {
		t.Errorf("got %s", body)
	}
}

// Guards against panics, invalid JSON output and caller keys left in the query on
// arbitrary data from callers and engines.
func FuzzBodies(f *testing.F) {
	f.Add([]byte(`{"model":"m","n":2,"prompt":["a","b"],"stream_options":{}}`))
	f.Add([]byte(`{"choices":[{"index":0,"delta":{"tool_calls":[{"index":0}]}}]}`))
	snap := config.NewSnapshot(config.Document{}, 1)
	f.Fuzz(func(t *testing.T, data []byte) {
		if out, err := engineBody(data); err == nil && !json.Valid(out) {
			t.Fatalf("engineBody returned invalid JSON: %s", out)
		}
		var req completionRequest
		if json.Unmarshal(data, &req) == nil {
			_ = choiceCount(req)
		}
		sink := &aggregateSink{call: &serving.Call{}}
		if sink.Chunk(serving.Chunk{Data: data}) == nil {
			if out, err := sink.assemble(); err == nil && !json.Valid(out) {
				t.Fatalf("assembled response is invalid JSON: %s", out)
			}
		}
		scrub := &scrubber{snap: snap, keys: []string{"secret-key"}}
		if strings.Contains(scrub.scrubQuery(string(data)), "secret-key") {
			t.Fatalf("scrubbed query of %q still contains the key", data)
		}
		_ = scrub.bodyContainsKey(data)
	})
}
