package loadgen

import (
	"math"
	"math/rand/v2"
	"time"
)

// Request is one planned request.
type Request struct {
	// At is when it is sent, counted from the start.
	At time.Duration
	// Workspace and Model are indexes into the profile.
	Workspace int
	Model     int
	// Prompt is the text.
	Prompt string
	// VM is a random number that selects the VM, as a load balancer would.
	VM uint64
}

// hotShare is the part of the requests that go to the hot document.
const hotShare = 0.4

// Plan returns the requests of a profile over a duration. The same seed gives
// the same requests.
func Plan(p *Profile, seed uint64, duration time.Duration) []Request {
	rng := rand.New(rand.NewPCG(seed, 0))
	var out []Request
	at := time.Duration(0)
	for {
		gap := -math.Log(1-rng.Float64()) / p.RequestsPerSecond
		at += time.Duration(gap * float64(time.Second))
		if at >= duration {
			return out
		}
		out = append(out, planOne(p, rng, at))
	}
}

func planOne(p *Profile, rng *rand.Rand, at time.Duration) Request {
	r := Request{At: at, Workspace: pickWorkspace(p, rng), Model: pickModel(p, rng), VM: rng.Uint64()}
	m := p.Models[r.Model]
	// The hot document shifts without warning.
	document := int(at/shiftEvery) % m.Documents
	if rng.Float64() >= hotShare {
		document = rng.IntN(m.Documents)
	}
	r.Prompt = prompt(rng, p.Workspaces[r.Workspace].Name, m, document)
	return r
}

func pickWorkspace(p *Profile, rng *rand.Rand) int {
	return pickShare(rng, p.Workspaces, func(w Workspace) float64 { return w.Share })
}

func pickModel(p *Profile, rng *rand.Rand) int {
	return pickShare(rng, p.Models, func(m Model) float64 { return m.Share })
}

// pickShare returns the index of a random item, by the shares of the items.
func pickShare[T any](rng *rand.Rand, items []T, share func(T) float64) int {
	x := rng.Float64()
	for i, item := range items {
		if x -= share(item); x < 0 {
			return i
		}
	}
	return len(items) - 1
}
