package cli

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/cuminwing/cuminwing/internal/config"
	"github.com/cuminwing/cuminwing/internal/daemon"
	"github.com/cuminwing/cuminwing/internal/keys"
	"github.com/cuminwing/cuminwing/internal/settings"
	"github.com/cuminwing/cuminwing/internal/standin"
)

const (
	demoTimeout       = 30 * time.Second
	demoPoll          = 50 * time.Millisecond
	demoTokenInterval = 5 * time.Millisecond
	demoModel         = "gutachter"
	demoVersion       = "v1"
)

func addDemo(r *registry) {
	demo := r.app.Command("demo", "Starts VMs and stand-in engines on loopback and streams one request through them.")
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
	key, err := keys.New()
	if err != nil {
		return err
	}
	node, address, err := startDemoVM(key)
	if err != nil {
		return err
	}
	defer node.Close()
	engine, err := standin.StartEngine("127.0.0.1:0", standin.EngineOptions{
		ID: "engine-1", Zone: "muc-a", Region: "oberbayern", Model: demoModel, Version: demoVersion,
		Announce: []string{"http://" + address.TargetAddress}, TokenInterval: demoTokenInterval, BatchSlots: 8,
	})
	if err != nil {
		return err
	}
	defer engine.Close()
	return streamDemo(ctx, "http://"+address.CallerAddress, key, prompt, out)
}

func startDemoVM(key string) (*daemon.Node, settings.Settings, error) {
	s := settings.Settings{VM: "vm-1", Zone: "muc-a", Region: "oberbayern"}
	for _, a := range []*string{&s.CallerAddress, &s.TargetAddress, &s.PeerAddress, &s.GossipAddress, &s.AdminAddress} {
		address, err := freeAddress()
		if err != nil {
			return nil, s, err
		}
		*a = address
	}
	document := config.Document{
		Models:     map[string]config.Model{demoModel: {ServingVersion: demoVersion}},
		Workspaces: map[string]config.Workspace{"yards": {Keys: []config.Key{{ID: "demo", SHA256: keys.Sum(key).String()}}}},
		Rates:      map[string]config.Rate{"yards": {RateTokensPerSecond: 10000, BurstTokens: 50000}},
		Routes:     map[string]config.Route{"grade": {Kind: config.KindModel, Model: demoModel}},
		Zones:      map[string]config.Zone{"muc-a": {Region: "oberbayern", VMSlots: 1}},
	}
	node, err := daemon.Start(s, daemon.Options{Document: &document})
	return node, s, err
}

// freeAddress returns a loopback address whose port was free a moment ago.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

func streamDemo(ctx context.Context, base, key, prompt string, out io.Writer) error {
	for {
		resp, err := demoRequest(ctx, base, key, prompt)
		if err != nil {
			return err
		}
		if resp.StatusCode != http.StatusServiceUnavailable {
			defer resp.Body.Close()
			return printDemo(resp, out)
		}
		// The engine has not announced itself yet.
		resp.Body.Close()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(demoPoll):
		}
	}
}

func demoRequest(ctx context.Context, base, key, prompt string) (*http.Response, error) {
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":20,"messages":[{"role":"user","content":%q}]}`, demoModel, prompt)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, base+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Content-Type", "application/json")
	return http.DefaultClient.Do(req)
}

func printDemo(resp *http.Response, out io.Writer) error {
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
		return fmt.Errorf("the stream is not complete")
	}
	return scanner.Err()
}
