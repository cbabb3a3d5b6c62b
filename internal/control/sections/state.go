// Package sections holds the service document as a replicated state: sections
// with revisions, edits with compare-and-set, and the history from which other
// VMs catch up. The package does no I/O.
package sections

import (
	"fmt"
	"maps"
	"slices"
	"sync/atomic"

	"github.com/cuminwing/cuminwing/internal/config"
	configv1 "github.com/cuminwing/cuminwing/proto/config/v1"
	"google.golang.org/protobuf/proto"
)

// Bounds of the history that one VM keeps for others to catch up from.
const (
	// MaxHistory covers almost two days at 2,300 edits a day.
	MaxHistory = 4096
	// MaxHistoryBytes bounds the memory that the patches take; a first
	// document counts with its full size.
	MaxHistoryBytes = 4 << 20
)

// Section is one section as of its revision.
type Section struct {
	// Revision is the log index of the edit that last changed the section.
	Revision uint64
	// EditID names that edit.
	EditID string
	// Contents is the section as raw JSON.
	Contents config.Contents
}

// State is the document as of one revision, with its history. It is
// immutable: Apply returns a new one.
type State struct {
	// Revision is the log index of the last accepted edit; 0 for none.
	Revision uint64
	// Sections holds the sections that were ever set.
	Sections map[config.Section]Section
	// Document is the decoded document, without defaults.
	Document config.Document

	// history holds the latest changes, oldest first. The first state that
	// follows appends behind the length that this one sees; others copy.
	history      []*configv1.Change
	historyBytes int
	// followed is set once the room behind history is taken. The log and a pull
	// of the same VM may derive states from one state at the same time.
	followed atomic.Bool
}

// NewState returns the state before the first edit.
func NewState() *State {
	return &State{Sections: make(map[config.Section]Section)}
}

// GapError means that a change does not follow the state it is applied to.
type GapError struct{ Have, Previous uint64 }

// Error names both revisions.
func (e *GapError) Error() string {
	return fmt.Sprintf("change follows revision %d, but the document is at revision %d", e.Previous, e.Have)
}

// Apply returns the state after change.
func (s *State) Apply(change *configv1.Change) (*State, error) {
	if change.GetPrevious() != s.Revision {
		return nil, &GapError{Have: s.Revision, Previous: change.GetPrevious()}
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

// checking says how far a merged member is checked.
type checking bool

const (
	// decodeOnly is for changes that the log has accepted.
	decodeOnly checking = false
	// withSchema is for new edits.
	withSchema checking = true
)

// merge applies the patches of change. It returns the members that the patches
// mention and every problem found.
func (s *State) merge(change *configv1.Change, check checking) (*State, map[config.Section][]string, []config.Problem) {
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
		names, found := next.mergeSection(change, edit, check)
		changed[config.Section(edit.GetSection())] = names
		problems = append(problems, found...)
	}
	next.remember(change)
	return next, changed, problems
}

func (s *State) mergeSection(change *configv1.Change, edit *configv1.SectionEdit, check checking) ([]string, []config.Problem) {
	name := config.Section(edit.GetSection())
	contents, changed, err := s.Sections[name].Contents.Merge(edit.GetPatch())
	if err != nil {
		return nil, []config.Problem{{Path: string(name), Reason: err.Error()}}
	}
	var problems []config.Problem
	if check == withSchema {
		if problems = config.CheckMembers(name, contents, changed); len(problems) > 0 {
			return changed, problems
		}
	}
	s.Document, problems = s.Document.WithMembers(name, contents, changed)
	s.Sections[name] = Section{Revision: change.GetRevision(), EditID: change.GetEdit().GetId(), Contents: contents}
	return changed, problems
}

// claimHistory returns the history for one state that follows.
func (s *State) claimHistory() []*configv1.Change {
	if s.followed.CompareAndSwap(false, true) {
		return s.history
	}
	return slices.Clip(s.history)
}

func (s *State) remember(change *configv1.Change) {
	s.history = append(s.history, change)
	s.historyBytes += proto.Size(change)
	for len(s.history) > 1 && (len(s.history) > MaxHistory || s.historyBytes > MaxHistoryBytes) {
		s.historyBytes -= proto.Size(s.history[0])
		s.history = s.history[1:]
	}
}

// Since returns the changes after revision, oldest first. It reports false if
// the history does not reach back that far.
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

// History returns the changes that are kept, oldest first. They must not be
// changed.
func (s *State) History() []*configv1.Change { return s.history }

// FirstEdit returns the edit that sets every section of d on an empty
// document.
func FirstEdit(id string, d config.Document) (*configv1.Edit, error) {
	raw, err := d.Split()
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
