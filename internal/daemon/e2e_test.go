package daemon

import (
	"sync"
	"testing"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"github.com/cuminwing/cuminwing/internal/standin"
)

// Guards against streams that a common client library reads as broken or
// incomplete, through three VMs in two zones, while an engine crashes and
// returns.
func TestClientLibraryStreamsThroughCrash(t *testing.T) {
	vms := startVMs(t, testDocument(), "muc-a", "muc-b", "muc-a")
	engines := []*standin.Engine{startEngine(t, "e1", false, vms...), startEngine(t, "e2", true, vms...), startEngine(t, "e3", false, vms...)}
	// The response of a simulated engine depends on the bytes of the prompt, so
	// that only requests of the same client library get the same response.
	want, _ := clientStream(t, vms[0], func(int) {})
	const streamsPerVM = 4
	var wg sync.WaitGroup
	var crash sync.Once
	for _, vm := range vms {
		for range streamsPerVM {
			wg.Go(func() {
				got, usage := clientStream(t, vm, func(n int) {
					if n == 100 {
						crash.Do(func() { engines[0].Close() })
					}
				})
				if got != want || usage != 300 {
					t.Errorf("got %d bytes, want %d; usage %d, want 300", len(got), len(want), usage)
				}
			})
		}
	}
	wg.Wait()
	restarted, err := engines[0].Restart()
	if err != nil {
		t.Fatal(err)
	}
	defer restarted.Close()
	await(t, "requests at the restarted engine", func() bool {
		ask(t, vms[1], "dossier", 1, nil)
		return restarted.RequestCount() > 0
	})
}

// clientStream streams one response with the client library and calls each for
// every chunk.
func clientStream(t *testing.T, vm *testVM, each func(n int)) (text string, usage int64) {
	client := openai.NewClient(option.WithBaseURL(vm.base+"/v1"), option.WithAPIKey(testKey), option.WithMaxRetries(0))
	stream := client.Chat.Completions.NewStreaming(t.Context(), openai.ChatCompletionNewParams{
		Model:         testModel,
		MaxTokens:     openai.Int(300),
		Messages:      []openai.ChatCompletionMessageParamUnion{openai.UserMessage("dossier")},
		StreamOptions: openai.ChatCompletionStreamOptionsParam{IncludeUsage: openai.Bool(true)},
	})
	defer stream.Close()
	accumulated := openai.ChatCompletionAccumulator{}
	for n := 0; stream.Next(); n++ {
		accumulated.AddChunk(stream.Current())
		each(n)
	}
	if err := stream.Err(); err != nil || len(accumulated.Choices) == 0 {
		t.Errorf("stream failed: %v", err)
		return "", 0
	}
	return accumulated.Choices[0].Message.Content, accumulated.Usage.CompletionTokens
}
