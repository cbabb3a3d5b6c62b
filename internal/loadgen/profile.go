// Package loadgen makes load for a running service: open-loop arrivals from a
// seed, nested hot prefixes, workspaces of which one exceeds its rate, and
// at-most-once orders with resends. It checks every answer on the caller's
// side.
package loadgen

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/cuminwing/cuminwing/internal/config"
	"github.com/cuminwing/cuminwing/internal/keys"
)

// Prompts are a tenth of the real length, and so are blocks and prefill
// speeds, so that one machine can carry the load in real proportions.
const (
	// BlockTokens is the number of tokens in a cached block.
	BlockTokens = 100
	// EngineRate is the prefill speed of an engine in tokens per second, a
	// tenth of 30,000.
	EngineRate    = 3000
	bytesPerToken = 4
	blockBytes    = BlockTokens * bytesPerToken
)

// Profile describes the load of one deployment.
type Profile struct {
	// Name is the deployment.
	Name string
	// Zones are the zones with their VM slots.
	Zones map[string]config.Zone
	// Models lists the models with the engines per zone.
	Models []Model
	// Workspaces lists the workspaces.
	Workspaces []Workspace
	// OrderService is the plain service whose calls run at most once.
	OrderService string
	// RequestsPerSecond is the arrival rate of all workspaces together.
	RequestsPerSecond float64
}

// Model is one model of a profile.
type Model struct {
	// Name is the model.
	Name string
	// Class is the class of its route.
	Class string
	// Engines is the number of engines per zone.
	Engines map[string]int
	// Share is the part of the requests that go to it.
	Share float64
	// PromptBlocks is the length of a prompt in blocks.
	PromptBlocks int
	// AnswerTokens is the length of an answer.
	AnswerTokens int
	// Documents is the number of long documents that prompts start with.
	Documents int
}

// Workspace is one workspace of a profile.
type Workspace struct {
	// Name is the workspace.
	Name string
	// Share is the part of the requests that it sends.
	Share float64
	// RateFactor is its rate over what it sends: below 1 it exceeds its rate.
	RateFactor float64
	// Key is its caller key.
	Key string
}

// Profiles returns the deployments that the tool knows.
func Profiles() map[string]Profile {
	return map[string]Profile{"verband": verband(), "zielnik": zielnik()}
}

func verband() Profile {
	return Profile{
		Name: "verband",
		Zones: map[string]config.Zone{
			"muc-a": {Region: "oberbayern", VMSlots: 3},
			"muc-b": {Region: "oberbayern", VMSlots: 3},
			"nue-a": {Region: "franken", VMSlots: 3},
		},
		Models: []Model{
			{Name: "gutachter", Class: config.ClassInteractive, Engines: map[string]int{"muc-a": 3, "muc-b": 3, "nue-a": 3}, Share: 0.8, PromptBlocks: 24, AnswerTokens: 30, Documents: 12},
			{Name: "lagerbuch", Class: config.ClassInteractive, Engines: map[string]int{"muc-a": 1, "muc-b": 1, "nue-a": 1}, Share: 0.2, PromptBlocks: 6, AnswerTokens: 20, Documents: 6},
		},
		Workspaces:        workspaces("dispatch", "yard-muenchen", "yard-nuernberg", "yard-augsburg", "heritage-lines"),
		OrderService:      "reservations",
		RequestsPerSecond: 20,
	}
}

func zielnik() Profile {
	return Profile{
		Name: "zielnik",
		Zones: map[string]config.Zone{
			"mazowsze-a":   {Region: "mazowsze", VMSlots: 3},
			"mazowsze-b":   {Region: "mazowsze", VMSlots: 3},
			"malopolska-a": {Region: "malopolska", VMSlots: 3},
		},
		Models: []Model{
			{Name: "pisarz", Class: config.ClassCatalogue, Engines: map[string]int{"mazowsze-a": 6, "mazowsze-b": 6, "malopolska-a": 6}, Share: 0.6, PromptBlocks: 30, AnswerTokens: 40, Documents: 20},
			{Name: "sklep", Class: config.ClassInteractive, Engines: map[string]int{"mazowsze-a": 1, "mazowsze-b": 1, "malopolska-a": 1}, Share: 0.4, PromptBlocks: 6, AnswerTokens: 20, Documents: 8},
		},
		Workspaces:        workspaces("catalogue", "order-desk", "florists", "gift-shops", "export"),
		OrderService:      "orders",
		RequestsPerSecond: 30,
	}
}

// workspaces gives the first two large shares; the last one sends four times
// its rate.
func workspaces(names ...string) []Workspace {
	shares := []float64{0.35, 0.25, 0.15, 0.1, 0.15}
	var out []Workspace
	for i, name := range names {
		factor := 1.6
		if i == len(names)-1 {
			factor = 0.25
		}
		out = append(out, Workspace{Name: name, Share: shares[i], RateFactor: factor})
	}
	return out
}

// MakeKeys gives every workspace a new key.
func (p *Profile) MakeKeys() error {
	for i := range p.Workspaces {
		key, err := keys.New()
		if err != nil {
			return err
		}
		p.Workspaces[i].Key = key
	}
	return nil
}

// tokensPerRequest is the mean number of tokens of a request.
func (p *Profile) tokensPerRequest() float64 {
	sum := 0.0
	for _, m := range p.Models {
		sum += m.Share * float64(m.PromptBlocks*BlockTokens+m.AnswerTokens)
	}
	return sum
}

// burstSeconds is the burst of a workspace in seconds of its rate.
const burstSeconds = 8

// Document returns the service document of the profile.
func (p *Profile) Document() config.Document {
	d := config.Document{
		Models:     make(map[string]config.Model),
		Workspaces: make(map[string]config.Workspace),
		Rates:      make(map[string]config.Rate),
		Routes:     make(map[string]config.Route),
		Objectives: make(map[string]config.Objective),
		Zones:      p.Zones,
	}
	for _, m := range p.Models {
		d.Models[m.Name] = config.Model{ServingVersion: "v1", BlockTokens: BlockTokens, PrefillTokensPerSecond: EngineRate}
		d.Routes[m.Name] = config.Route{Kind: config.KindModel, Model: m.Name, Class: m.Class}
		d.Objectives[m.Name+"-first-token"] = config.Objective{Route: m.Name, Kind: "first_token", ThresholdMS: 840, Target: 0.95}
		d.Objectives[m.Name+"-complete"] = config.Objective{Route: m.Name, Kind: "complete_answers", Target: 0.999}
	}
	d.Routes[p.OrderService] = config.Route{
		Kind: config.KindService, Service: p.OrderService, PathPrefix: "/" + p.OrderService,
		Run: config.RunAtMostOnce, Class: config.ClassInteractive, CostTokens: 1,
	}
	for _, w := range p.Workspaces {
		d.Workspaces[w.Name] = config.Workspace{Keys: []config.Key{{ID: "load", SHA256: keys.Sum(w.Key).String()}}}
		rate := p.RequestsPerSecond * w.Share * p.tokensPerRequest() * w.RateFactor
		d.Rates[w.Name] = config.Rate{RateTokensPerSecond: rate, BurstTokens: max(burstSeconds*rate, 4*p.tokensPerRequest()), MaxWaitMS: 500}
	}
	return d
}

// prompt returns the text of a prompt: a head that all prompts of the
// workspace share, a document, a section of it, and a question of its own.
func prompt(rng *rand.Rand, workspace string, m Model, document int) string {
	head := m.PromptBlocks / 4
	section := m.PromptBlocks / 4
	body := m.PromptBlocks - head - section
	var b strings.Builder
	fill(&b, workspace+" "+m.Name+" instructions ", head)
	fill(&b, fmt.Sprintf("%s %s document %d ", workspace, m.Name, document), body)
	fill(&b, fmt.Sprintf("%s %s document %d section %d ", workspace, m.Name, document, rng.IntN(sectionsPerDocument)), section)
	fmt.Fprintf(&b, "question %d", rng.Uint64())
	return b.String()
}

const sectionsPerDocument = 4

// fill writes blocks of text that is a function of the label.
func fill(b *strings.Builder, label string, blocks int) {
	end := b.Len() + blocks*blockBytes
	for b.Len() < end {
		b.WriteString(label[:min(len(label), end-b.Len())])
	}
}

// shiftEvery is how often another document becomes the hot one.
const shiftEvery = 10 * time.Second
