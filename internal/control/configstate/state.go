// Package configstate implements the replicated service document. The document
// consists of sections, each with a revision. Edits are compare-and-set
// operations on those revisions, and a bounded history of changes lets other
// VMs catch up. The package does no I/O.
package configstate

import (
	"fmt"
	"maps"
	"slices"
	"sync/atomic"

	"github.com/cuminwing/cuminwing/internal/config"
	configv1 "github.com/cuminwing/cuminwing/proto/config/v1"
	"google.golang.org/protobuf/proto"
)

// Limits of the history that a VM keeps so that other VMs can catch up.
const (
	// MaxHistoryChanges covers almost two days at 2,300 edits a day.
	MaxHistoryChanges = 4096
	// MaxHistoryBytes bounds the memory used by the patches. The edit that
	// sets the initial document counts with the size of the whole document.
	MaxHistoryBytes = 4 << 20
)

// Section is one section of the document at its current revision.
type Section struct {
	// Revision is the log index of the edit that last changed the section.
	Revision uint64
	// EditID is the ID of that edit.
	EditID string
	// Contents holds the members of the section as raw JSON.
	Contents config.RawSection
}

// State is the document at one revision, with the history that led to it. Its
// visible contents are immutable: Apply returns a new State.
type State struct {
	// Revision is the log index of the last accepted edit, or 0 before the
	// first edit.
	Revision uint64
	// Sections holds every section that an accepted edit has set.
	Sections map[config.Section]Section
	// Document is the decoded document, without default values filled in.
	Document config.Document

	// history holds the latest changes, oldest first. The first state derived
	// from this one appends to the same backing array, beyond the length of
	// this slice; any further derived state copies the array.
	history      []*configv1.Change
	historyBytes int
	// tailClaimed is set once a derived state may append to the backing array of
	// history. It is atomic because applying the log and pulling changes from
	// another VM may derive states from the same state concurrently.
	tailClaimed atomic.Bool
}

// NewState returns the empty state, before the first edit.
func NewState() *State {
	return &State{Sections: make(map[config.Section]Section)}
}

// GapError means that a change does not directly follow the revision of the
// state it is applied to.
type GapError struct{ Current, Previous uint64 }

// Error describes both revisions.
func (e *GapError) Error() string {
	return fmt.Sprintf("change follows revision %d, but the document is at revision %d", e.Previous, e.Current)
}

// Apply returns the state that results from change. The change must directly
// follow the revision of s; otherwise the error is a GapError.
func (s *State) Apply(change *configv1.Change) (*State, error) {
	if change.GetPrevious() != s.Revision {
		return nil, &GapError{Current: s.Revision, Previous: change.GetPrevious()}
	}
	if change.GetRevision() <= s.Revision {
		return nil, fmt.Errorf("change has revision %d, but the document is at revision %d", change.GetRevision(), s.Revision)
	}
	next, _, problems := s.merge(change, decodeOnly)
	if len(problems) > 0 {
		return nil, &config.InvalidError{Problems: problems}
	}
	return next, nil
}

// validation selects how strictly a merged member is validated.
type validation bool

const (
	// decodeOnly is for changes that were validated when the log accepted them.
	decodeOnly validation = false
	// decodeAndCheckSchema is for edits that are not accepted yet.
	decodeAndCheckSchema validation = true
)

// merge applies the patches of change and returns the resulting state, the
// members that the patches mention in each section, and all problems found.
func (s *State) merge(change *configv1.Change, level validation) (*State, map[config.Section][]string, []config.Problem) {
	next := &State{
		Revision:     change.GetRevision(),
		Sections:     maps.Clone(s.Sections),
		Document:     s.Document,
		history:      s.claimHistory(),
		historyBytes: s.historyBytes,
	}
	var problems []config.Problem
	changed := make(map[config.Section][]string)
	for _, edit := range change.GetEdit().GetSections() {
		names, found := next.mergeSection(change, edit, level)
		changed[config.Section(edit.GetSection())] = names
		problems = append(problems, found...)
	}
	next.appendHistory(change)
	return next, changed, problems
}

func (s *State) mergeSection(change *configv1.Change, edit *configv1.SectionEdit, level validation) ([]string, []config.Problem) {
	name := config.Section(edit.GetSection())
	contents, changed, err := s.Sections[name].Contents.Merge(edit.GetPatch())
	if err != nil {
		return nil, []config.Problem{{Path: string(name), Reason: err.Error()}}
	}
	var problems []config.Problem
	if level == decodeAndCheckSchema {
		if problems = config.ValidateMembers(name, contents, changed); len(problems) > 0 {
			return changed, problems
		}
	}
	s.Document, problems = s.Document.WithMembers(name, contents, changed)
	s.Sections[name] = Section{Revision: change.GetRevision(), EditID: change.GetEdit().GetId(), Contents: contents}
	return changed, problems
}

// claimHistory returns the history for a state derived from s. The first caller
// gets the backing array with its spare capacity. Later callers get a slice
// without spare capacity, which append copies.
func (s *State) claimHistory() []*configv1.Change {
	if s.tailClaimed.CompareAndSwap(false, true) {
		return s.history
	}
	return slices.Clip(s.history)
}

func (s *State) appendHistory(change *configv1.Change) {
	s.history = append(s.history, change)
	s.historyBytes += proto.Size(change)
	for len(s.history) > 1 && (len(s.history) > MaxHistoryChanges || s.historyBytes > MaxHistoryBytes) {
		s.historyBytes -= proto.Size(s.history[0])
		s.history = s.history[1:]
	}
}

// Since returns the changes after revision, oldest first. It reports false if
// the history does not reach back to revision, or if s is older than revision.
func (s *State) Since(revision uint64) ([]*configv1.Change, bool) {
	if revision == s.Revision {
		return nil, true
	}
	for i := len(s.history) - 1; i >= 0; i-- {
		if s.history[i].GetPrevious() == revision {
			return s.history[i:], true
		}
		if s.history[i].GetPrevious() < revision {
			return nil, false
		}
	}
	return nil, false
}

// History returns the retained changes, oldest first. The caller must not
// modify them.
func (s *State) History() []*configv1.Change { return s.history }

// InitialEdit returns the edit that creates document d from the empty state.
func InitialEdit(id string, d config.Document) (*configv1.Edit, error) {
	raw, err := d.RawSections()
	if err != nil {
		return nil, err
	}
	edit := &configv1.Edit{Id: id}
	for _, name := range config.Sections {
		contents, present := raw[name]
		if !present {
			continue
		}
		edit.Sections = append(edit.Sections, &configv1.SectionEdit{Section: string(name), Patch: contents.JSON()})
	}
	return edit, nil
}
