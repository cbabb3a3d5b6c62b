package sections

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/cuminwing/cuminwing/internal/config"
	configv1 "github.com/cuminwing/cuminwing/proto/config/v1"
	"google.golang.org/protobuf/proto"
)

// KeptResults is the number of edits whose results are kept for resends:
// almost two days at 2,300 edits a day, far longer than a tool resends.
const KeptResults = 4096

// maxProblems bounds what one refused edit adds to the state.
const maxProblems = 100

// Part is the configuration part of the replicated state. Apply, Snapshot and
// Restore belong to the goroutine that applies the log; State may be called by
// any goroutine.
type Part struct {
	state   atomic.Pointer[State]
	changed func()
	// checker validates changes of the document in state.
	checker *config.Checker

	results map[string]*configv1.EditResult
	// order holds the edit IDs of results, oldest first.
	order []string
}

// NewPart returns an empty part. It calls changed after each new state.
func NewPart(changed func()) *Part {
	p := &Part{changed: changed, results: make(map[string]*configv1.EditResult)}
	p.state.Store(NewState())
	p.checker = config.NewChecker(config.Document{})
	return p
}

// State returns the last applied state.
func (p *Part) State() *State { return p.state.Load() }

// Apply implements control.Part. The answer is an encoded EditResult.
func (p *Part) Apply(index uint64, now time.Time, body []byte) []byte {
	var edit configv1.Edit
	if err := proto.Unmarshal(body, &edit); err != nil {
		return encodeResult(invalid(&configv1.EditResult{}, config.Problem{Path: "$", Reason: "edit cannot be decoded"}))
	}
	return encodeResult(p.apply(index, now, &edit, fingerprint(body)))
}

func (p *Part) apply(index uint64, now time.Time, edit *configv1.Edit, print uint64) *configv1.EditResult {
	if known, ok := p.results[edit.GetId()]; ok {
		if known.GetFingerprint() == print {
			return known
		}
		return &configv1.EditResult{EditId: edit.GetId(), Outcome: configv1.Outcome_OUTCOME_ID_REUSED, Revision: known.GetRevision()}
	}
	result := &configv1.EditResult{EditId: edit.GetId(), Revision: p.State().Revision, Fingerprint: print}
	p.execute(index, now, edit, result)
	if edit.GetId() != "" {
		p.store(result)
	}
	return result
}

func (p *Part) execute(index uint64, now time.Time, edit *configv1.Edit, result *configv1.EditResult) {
	if problems := checkEdit(edit); len(problems) > 0 {
		invalid(result, problems...)
		return
	}
	current := p.State()
	if conflicts := current.conflicts(edit); len(conflicts) > 0 {
		result.Outcome = configv1.Outcome_OUTCOME_CONFLICT
		result.Conflicts = conflicts
		return
	}
	change := &configv1.Change{Revision: index, Previous: current.Revision, TimeMs: now.UnixMilli(), Edit: edit}
	next, changed, problems := current.merge(change, withSchema)
	if len(problems) == 0 {
		problems = p.checker.Check(current.Document, next.Document, changed)
	}
	if len(problems) > 0 {
		invalid(result, problems...)
		return
	}
	result.Outcome = configv1.Outcome_OUTCOME_ACCEPTED
	result.Revision = index
	p.checker.Accept(current.Document, next.Document, changed)
	p.state.Store(next)
	p.changed()
}

func checkEdit(edit *configv1.Edit) []config.Problem {
	var problems []config.Problem
	if edit.GetId() == "" {
		problems = append(problems, config.Problem{Path: "id", Reason: "is required"})
	}
	if len(edit.GetSections()) == 0 {
		problems = append(problems, config.Problem{Path: "sections", Reason: "names no section"})
	}
	seen := make(map[string]bool)
	for _, s := range edit.GetSections() {
		if !config.KnownSection(config.Section(s.GetSection())) {
			problems = append(problems, config.Problem{Path: s.GetSection(), Reason: "is not a section of the document"})
		}
		if seen[s.GetSection()] {
			problems = append(problems, config.Problem{Path: s.GetSection(), Reason: "is named twice"})
		}
		seen[s.GetSection()] = true
	}
	return problems
}

// conflicts lists the sections that another edit changed after the base
// revision of edit.
func (s *State) conflicts(edit *configv1.Edit) []*configv1.Conflict {
	var conflicts []*configv1.Conflict
	for _, section := range edit.GetSections() {
		current := s.Sections[config.Section(section.GetSection())]
		if section.GetBaseRevision() == current.Revision {
			continue
		}
		conflicts = append(conflicts, &configv1.Conflict{
			Section:  section.GetSection(),
			Revision: current.Revision,
			EditId:   current.EditID,
		})
	}
	return conflicts
}

func (p *Part) store(result *configv1.EditResult) {
	p.results[result.GetEditId()] = result
	p.order = append(p.order, result.GetEditId())
	if len(p.order) > KeptResults {
		delete(p.results, p.order[0])
		p.order = p.order[1:]
	}
}

// Snapshot implements control.Part.
func (p *Part) Snapshot() ([]byte, error) {
	message := p.State().message()
	for _, id := range p.order {
		message.Results = append(message.Results, p.results[id])
	}
	return proto.MarshalOptions{Deterministic: true}.Marshal(message)
}

// Restore implements control.Part.
func (p *Part) Restore(data []byte) error {
	var message configv1.State
	if err := proto.Unmarshal(data, &message); err != nil {
		return fmt.Errorf("decode configuration part: %w", err)
	}
	state, err := fromMessage(&message)
	if err != nil {
		return err
	}
	p.results = make(map[string]*configv1.EditResult, len(message.GetResults()))
	p.order = nil
	for _, result := range message.GetResults() {
		p.store(result)
	}
	p.checker = config.NewChecker(state.Document)
	p.state.Store(state)
	p.changed()
	return nil
}

func invalid(result *configv1.EditResult, problems ...config.Problem) *configv1.EditResult {
	result.Outcome = configv1.Outcome_OUTCOME_INVALID
	for _, problem := range problems[:min(len(problems), maxProblems)] {
		result.Problems = append(result.Problems, &configv1.Problem{Path: problem.Path, Reason: problem.Reason})
	}
	return result
}

func encodeResult(result *configv1.EditResult) []byte {
	// A message of this package's own making always encodes.
	data, _ := proto.Marshal(result)
	return data
}

func fingerprint(body []byte) uint64 {
	sum := sha256.Sum256(body)
	return binary.LittleEndian.Uint64(sum[:])
}
