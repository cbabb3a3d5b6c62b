package cli

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/cuminwing/cuminwing/internal/apikeys"
	"github.com/cuminwing/cuminwing/internal/config"
	"github.com/cuminwing/cuminwing/internal/daemon"
	"github.com/cuminwing/cuminwing/internal/standin"
)

const (
	demoTimeout       = 30 * time.Second
	demoRetryInterval = 50 * time.Millisecond
	demoModel         = "gutachter"
	demoVersion       = "v1"
)

func addDemo(r *registry) {
	demo := r.app.Command("demo", "Starts three VMs in two zones and stand-in engines on loopback and streams one request through them.")
	prompt := demo.Flag("prompt", "Prompt to send.").Default("Grade this sleeper: oak, 1987, two cracks.").String()
	r.add(demo, func(out, errOut io.Writer) int {
		if err := runDemo(*prompt, out); err != nil {
			fmt.Fprintln(errOut, "demo:", err)
			return ExitFailed
		}
		return ExitOK
	})
}

func runDemo(prompt string, out io.Writer) error {
	ctx, cancel := context.WithTimeout(context.Background(), demoTimeout)
	defer cancel()
	key, err := apikeys.New()
	if err != nil {
		return err
	}
	cluster, err := startCluster(demoDocument(key), demoEngines(), daemon.Options{})
	if err != nil {
		return err
	}
	defer cluster.close()
	return streamDemoRequest(ctx, cluster.callerURLs()[0], key, prompt, out)
}

func demoDocument(key string) config.Document {
	return config.Document{
		Models:     map[string]config.Model{demoModel: {ServingVersion: demoVersion}},
		Workspaces: map[string]config.Workspace{"yards": {Keys: []config.Key{{ID: "demo", SHA256: apikeys.HashKey(key).String()}}}},
		Rates:      map[string]config.Rate{"yards": {RateTokensPerSecond: 10000, BurstTokens: 50000}},
		Routes:     map[string]config.Route{"grade": {Kind: config.KindModel, Model: demoModel}},
		Zones: map[string]config.Zone{
			"muc-a": {Region: "oberbayern", VMSlots: 2},
			"muc-b": {Region: "oberbayern", VMSlots: 1},
		},
	}
}

func demoEngines() []standin.EngineOptions {
	engine := standin.EngineOptions{
		Region: "oberbayern", Model: demoModel, Version: demoVersion,
		TokenInterval: demoTokenInterval, BatchSlots: 8,
	}
	a, b := engine, engine
	a.ID, a.Zone = "engine-1", "muc-a"
	b.ID, b.Zone = "engine-2", "muc-b"
	return []standin.EngineOptions{a, b}
}

// streamDemoRequest sends the demo request and prints the response. It retries
// while the service starts up: until engines have announced themselves and the
// rate buckets, which start empty, have filled.
func streamDemoRequest(ctx context.Context, base, key, prompt string, out io.Writer) error {
	for {
		resp, err := sendDemoRequest(ctx, base, key, prompt)
		if err != nil {
			return err
		}
		if resp.StatusCode != http.StatusServiceUnavailable && resp.StatusCode != http.StatusTooManyRequests {
			defer resp.Body.Close()
			return printStream(resp, out)
		}
		resp.Body.Close()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(demoRetryInterval):
		}
	}
}

func sendDemoRequest(ctx context.Context, base, key, prompt string) (*http.Response, error) {
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":20,"messages":[{"role":"user","content":%q}]}`, demoModel, prompt)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, base+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Content-Type", "application/json")
	return http.DefaultClient.Do(req)
}

func printStream(resp *http.Response, out io.Writer) error {
	if resp.StatusCode != http.StatusOK {
		body, _ := io.ReadAll(resp.Body)
		return fmt.Errorf("status %d: %s", resp.StatusCode, body)
	}
	scanner := bufio.NewScanner(resp.Body)
	complete := false
	for scanner.Scan() {
		if line := scanner.Text(); line != "" {
			fmt.Fprintln(out, line)
			complete = line == "data: [DONE]"
		}
	}
	if !complete {
		return fmt.Errorf("response stream of the demo request ended without [DONE]")
	}
	return scanner.Err()
}

func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}
