package configstate

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

// MaxResults is the number of edits whose results are stored, so that a retry
// gets the original result. It covers almost two days at 2,300 edits a day, far
// longer than any tool retries.
const MaxResults = 4096

// maxProblems bounds the problems stored with the result of one invalid edit,
// and thereby what the edit adds to the replicated state.
const maxProblems = 100

// StateMachine is the replicated configuration state. Only the goroutine that
// applies the log may call Apply, Snapshot and Restore; any goroutine may call
// State.
type StateMachine struct {
	state    atomic.Pointer[State]
	onChange func()
	// validator validates changes against the document in state.
	validator *config.IncrementalValidator

	results map[string]*configv1.EditResult
	// resultOrder lists the edit IDs in results, oldest first.
	resultOrder []string
}

// NewStateMachine returns a StateMachine with an empty document. It calls
// onChange each time the state is replaced.
func NewStateMachine(onChange func()) *StateMachine {
	m := &StateMachine{onChange: onChange, results: make(map[string]*configv1.EditResult)}
	m.state.Store(NewState())
	m.validator = config.NewIncrementalValidator(config.Document{})
	return m
}

// State returns the state after the last applied command.
func (m *StateMachine) State() *State { return m.state.Load() }

// Apply implements control.StateMachine. The response is an encoded EditResult.
func (m *StateMachine) Apply(index uint64, now time.Time, body []byte) []byte {
	var edit configv1.Edit
	if err := proto.Unmarshal(body, &edit); err != nil {
		return encodeResult(setInvalid(&configv1.EditResult{}, config.Problem{Path: "$", Reason: "edit cannot be decoded"}))
	}
	return encodeResult(m.apply(index, now, &edit, fingerprint(body)))
}

func (m *StateMachine) apply(index uint64, now time.Time, edit *configv1.Edit, bodyFingerprint uint64) *configv1.EditResult {
	if stored, ok := m.results[edit.GetId()]; ok {
		if stored.GetFingerprint() == bodyFingerprint {
			return stored
		}
		return &configv1.EditResult{EditId: edit.GetId(), Outcome: configv1.Outcome_OUTCOME_ID_REUSED, Revision: stored.GetRevision()}
	}
	result := &configv1.EditResult{EditId: edit.GetId(), Revision: m.State().Revision, Fingerprint: bodyFingerprint}
	m.execute(index, now, edit, result)
	if edit.GetId() != "" {
		m.storeResult(result)
	}
	return result
}

func (m *StateMachine) execute(index uint64, now time.Time, edit *configv1.Edit, result *configv1.EditResult) {
	if problems := validateEdit(edit); len(problems) > 0 {
		setInvalid(result, problems...)
		return
	}
	current := m.State()
	if conflicts := current.conflicts(edit); len(conflicts) > 0 {
		result.Outcome = configv1.Outcome_OUTCOME_CONFLICT
		result.Conflicts = conflicts
		return
	}
	change := &configv1.Change{Revision: index, Previous: current.Revision, TimeMs: now.UnixMilli(), Edit: edit}
	next, changed, problems := current.merge(change, decodeAndCheckSchema)
	if len(problems) == 0 {
		problems = m.validator.Validate(current.Document, next.Document, changed)
	}
	if len(problems) > 0 {
		setInvalid(result, problems...)
		return
	}
	result.Outcome = configv1.Outcome_OUTCOME_ACCEPTED
	result.Revision = index
	m.validator.Apply(current.Document, next.Document, changed)
	m.state.Store(next)
	m.onChange()
}

func validateEdit(edit *configv1.Edit) []config.Problem {
	var problems []config.Problem
	if edit.GetId() == "" {
		problems = append(problems, config.Problem{Path: "id", Reason: "is required"})
	}
	if len(edit.GetSections()) == 0 {
		problems = append(problems, config.Problem{Path: "sections", Reason: "names no section"})
	}
	seen := make(map[string]bool)
	for _, s := range edit.GetSections() {
		if !config.IsSection(config.Section(s.GetSection())) {
			problems = append(problems, config.Problem{Path: s.GetSection(), Reason: "is not a section of the document"})
		}
		if seen[s.GetSection()] {
			problems = append(problems, config.Problem{Path: s.GetSection(), Reason: "is named twice"})
		}
		seen[s.GetSection()] = true
	}
	return problems
}

// conflicts returns a conflict for each section of edit that another edit has
// changed since the base revision of edit.
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

func (m *StateMachine) storeResult(result *configv1.EditResult) {
	m.results[result.GetEditId()] = result
	m.resultOrder = append(m.resultOrder, result.GetEditId())
	if len(m.resultOrder) > MaxResults {
		delete(m.results, m.resultOrder[0])
		m.resultOrder = m.resultOrder[1:]
	}
}

// Snapshot implements control.StateMachine.
func (m *StateMachine) Snapshot() ([]byte, error) {
	message := m.State().toProto()
	for _, id := range m.resultOrder {
		message.Results = append(message.Results, m.results[id])
	}
	return proto.MarshalOptions{Deterministic: true}.Marshal(message)
}

// Restore implements control.StateMachine.
func (m *StateMachine) Restore(data []byte) error {
	var message configv1.State
	if err := proto.Unmarshal(data, &message); err != nil {
		return fmt.Errorf("decode configuration snapshot: %w", err)
	}
	state, err := fromProto(&message)
	if err != nil {
		return err
	}
	m.results = make(map[string]*configv1.EditResult, len(message.GetResults()))
	m.resultOrder = nil
	for _, result := range message.GetResults() {
		m.storeResult(result)
	}
	m.validator = config.NewIncrementalValidator(state.Document)
	m.state.Store(state)
	m.onChange()
	return nil
}

func setInvalid(result *configv1.EditResult, problems ...config.Problem) *configv1.EditResult {
	result.Outcome = configv1.Outcome_OUTCOME_INVALID
	for _, problem := range problems[:min(len(problems), maxProblems)] {
		result.Problems = append(result.Problems, &configv1.Problem{Path: problem.Path, Reason: problem.Reason})
	}
	return result
}

func encodeResult(result *configv1.EditResult) []byte {
	// Marshal does not fail on a message built by this package.
	data, _ := proto.Marshal(result)
	return data
}

func fingerprint(body []byte) uint64 {
	sum := sha256.Sum256(body)
	return binary.LittleEndian.Uint64(sum[:])
}
