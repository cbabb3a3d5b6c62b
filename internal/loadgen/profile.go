// Package loadgen generates load for a running service: seeded open-loop
// arrivals, nested hot prefixes, workspaces of which one exceeds its rate, and
// at-most-once orders with resends. It checks every response on the caller's
// side.
package loadgen

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/cuminwing/cuminwing/internal/apikeys"
	"github.com/cuminwing/cuminwing/internal/config"
)

// Prompt lengths, block sizes and prefill speeds are a tenth of the real ones,
// so that one machine can carry the load with realistic ratios.
const (
	// BlockTokens is the number of tokens in a cache block.
	BlockTokens = 100
	// PrefillRate is the prefill speed of an engine in tokens per second, a
	// tenth of 30,000.
	PrefillRate   = 3000
	bytesPerToken = 4
	blockBytes    = BlockTokens * bytesPerToken
)

// Profile describes the load of one deployment.
type Profile struct {
	// Name is the name of the deployment.
	Name string
	// Zones maps the names of the zones to their region and VM slots.
	Zones map[string]config.Zone
	// Models lists the models with their engines per zone.
	Models     []Model
	Workspaces []Workspace
	// OrderService is the name of a service other than a model whose calls run
	// at most once.
	OrderService string
	// RequestsPerSecond is the total arrival rate of all workspaces.
	RequestsPerSecond float64
}

// Model is one model of a profile.
type Model struct {
	Name string
	// Class is the priority class of the model's route.
	Class string
	// Engines is the number of engines per zone.
	Engines map[string]int
	// RequestShare is the fraction of the requests that use the model.
	RequestShare float64
	// PromptBlocks is the length of a prompt in blocks.
	PromptBlocks int
	// AnswerTokens is the length of a response in tokens.
	AnswerTokens int
	// Documents is the number of long documents of which each prompt contains
	// one.
	Documents int
}

// Workspace is one workspace of a profile.
type Workspace struct {
	Name string
	// RequestShare is the fraction of the requests that the workspace sends.
	RequestShare float64
	// RateFactor is the workspace's rate limit divided by its mean load. Below
	// 1, its load exceeds the limit.
	RateFactor float64
	// Key is the caller key of the workspace.
	Key string
}

// Profiles returns the known profiles by name.
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
			{Name: "gutachter", Class: config.ClassInteractive, Engines: map[string]int{"muc-a": 3, "muc-b": 3, "nue-a": 3}, RequestShare: 0.8, PromptBlocks: 24, AnswerTokens: 30, Documents: 12},
			{Name: "lagerbuch", Class: config.ClassInteractive, Engines: map[string]int{"muc-a": 1, "muc-b": 1, "nue-a": 1}, RequestShare: 0.2, PromptBlocks: 6, AnswerTokens: 20, Documents: 6},
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
			{Name: "pisarz", Class: config.ClassCatalogue, Engines: map[string]int{"mazowsze-a": 6, "mazowsze-b": 6, "malopolska-a": 6}, RequestShare: 0.6, PromptBlocks: 30, AnswerTokens: 40, Documents: 20},
			{Name: "sklep", Class: config.ClassInteractive, Engines: map[string]int{"mazowsze-a": 1, "mazowsze-b": 1, "malopolska-a": 1}, RequestShare: 0.4, PromptBlocks: 6, AnswerTokens: 20, Documents: 8},
		},
		Workspaces:        workspaces("catalogue", "order-desk", "florists", "gift-shops", "export"),
		OrderService:      "orders",
		RequestsPerSecond: 30,
	}
}

// workspaces returns five workspaces with these names. The first two have large
// request shares; the last one sends four times its rate.
func workspaces(names ...string) []Workspace {
	shares := []float64{0.35, 0.25, 0.15, 0.1, 0.15}
	var out []Workspace
	for i, name := range names {
		factor := 1.6
		if i == len(names)-1 {
			factor = 0.25
		}
		out = append(out, Workspace{Name: name, RequestShare: shares[i], RateFactor: factor})
	}
	return out
}

// MakeKeys generates a caller key for every workspace.
func (p *Profile) MakeKeys() error {
	for i := range p.Workspaces {
		key, err := apikeys.New()
		if err != nil {
			return err
		}
		p.Workspaces[i].Key = key
	}
	return nil
}

// meanRequestTokens returns the mean number of prompt and response tokens of a
// request.
func (p *Profile) meanRequestTokens() float64 {
	sum := 0.0
	for _, m := range p.Models {
		sum += m.RequestShare * float64(m.PromptBlocks*BlockTokens+m.AnswerTokens)
	}
	return sum
}

// burstSeconds is the burst size of a workspace, as the number of seconds that
// its rate takes to refill it.
const burstSeconds = 8

// Document returns the service document for the profile.
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
		d.Models[m.Name] = config.Model{ServingVersion: "v1", BlockTokens: BlockTokens, PrefillTokensPerSecond: PrefillRate}
		d.Routes[m.Name] = config.Route{Kind: config.KindModel, Model: m.Name, Class: m.Class}
		d.Objectives[m.Name+"-first-token"] = config.Objective{Route: m.Name, Kind: "first_token", ThresholdMS: 840, Target: 0.95}
		d.Objectives[m.Name+"-complete"] = config.Objective{Route: m.Name, Kind: "complete_answers", Target: 0.999}
	}
	d.Routes[p.OrderService] = config.Route{
		Kind: config.KindService, Service: p.OrderService, PathPrefix: "/" + p.OrderService,
		Run: config.RunAtMostOnce, Class: config.ClassInteractive, CostTokens: 1,
	}
	for _, w := range p.Workspaces {
		d.Workspaces[w.Name] = config.Workspace{Keys: []config.Key{{ID: "load", SHA256: apikeys.HashKey(w.Key).String()}}}
		rate := p.RequestsPerSecond * w.RequestShare * p.meanRequestTokens() * w.RateFactor
		d.Rates[w.Name] = config.Rate{RateTokensPerSecond: rate, BurstTokens: max(burstSeconds*rate, 4*p.meanRequestTokens()), MaxWaitMS: 500}
	}
	return d
}

// prompt returns the text of a prompt: instructions that all prompts of the
// workspace to the model share, a document, one of its sections, and a random
// question.
func prompt(rng *rand.Rand, workspace string, m Model, document int) string {
	instructionBlocks := m.PromptBlocks / 4
	sectionBlocks := m.PromptBlocks / 4
	documentBlocks := m.PromptBlocks - instructionBlocks - sectionBlocks
	var b strings.Builder
	writeBlocks(&b, workspace+" "+m.Name+" instructions ", instructionBlocks)
	writeBlocks(&b, fmt.Sprintf("%s %s document %d ", workspace, m.Name, document), documentBlocks)
	writeBlocks(&b, fmt.Sprintf("%s %s document %d section %d ", workspace, m.Name, document, rng.IntN(sectionsPerDocument)), sectionBlocks)
	fmt.Fprintf(&b, "question %d", rng.Uint64())
	return b.String()
}

const sectionsPerDocument = 4

// writeBlocks writes blocks filled with repetitions of the label.
func writeBlocks(b *strings.Builder, label string, blocks int) {
	end := b.Len() + blocks*blockBytes
	for b.Len() < end {
		b.WriteString(label[:min(len(label), end-b.Len())])
	}
}

// hotShiftInterval is the interval after which another document becomes the hot
// one.
const hotShiftInterval = 10 * time.Second
