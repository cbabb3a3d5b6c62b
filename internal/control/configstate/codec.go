package configstate

import (
	"fmt"

	"github.com/cuminwing/cuminwing/internal/config"
	configv1 "github.com/cuminwing/cuminwing/proto/config/v1"
	"google.golang.org/protobuf/proto"
)

// EncodeDocument returns the sections of s as a message. If names are given,
// only those sections are included.
func (s *State) EncodeDocument(names ...string) *configv1.Document {
	wanted := make(map[config.Section]bool, len(names))
	for _, n := range names {
		wanted[config.Section(n)] = true
	}
	d := &configv1.Document{Revision: s.Revision}
	for _, name := range config.Sections {
		section, present := s.Sections[name]
		if !present || (len(wanted) > 0 && !wanted[name]) {
			continue
		}
		d.Sections = append(d.Sections, &configv1.Section{
			Name:     string(name),
			Revision: section.Revision,
			EditId:   section.EditID,
			Contents: section.Contents.JSON(),
		})
	}
	return d
}

// DecodeDocument returns the state that d describes, with an empty history.
func DecodeDocument(d *configv1.Document) (*State, error) {
	s := NewState()
	s.Revision = d.GetRevision()
	for _, section := range d.GetSections() {
		name := config.Section(section.GetName())
		contents, err := config.ParseRawSection(section.GetContents())
		if err != nil {
			return nil, fmt.Errorf("section %q: %w", name, err)
		}
		if section.GetRevision() > s.Revision {
			return nil, fmt.Errorf("section %q has revision %d, but the document is only at revision %d", name, section.GetRevision(), s.Revision)
		}
		members := make([]string, 0, len(contents))
		for member := range contents {
			members = append(members, member)
		}
		var problems []config.Problem
		s.Document, problems = s.Document.WithMembers(name, contents, members)
		if len(problems) > 0 {
			return nil, &config.InvalidError{Problems: problems}
		}
		s.Sections[name] = Section{Revision: section.GetRevision(), EditID: section.GetEditId(), Contents: contents}
	}
	return s, nil
}

// Encode returns s and its history in encoded form.
func (s *State) Encode() ([]byte, error) {
	return proto.MarshalOptions{Deterministic: true}.Marshal(s.toProto())
}

func (s *State) toProto() *configv1.State {
	return &configv1.State{Document: s.EncodeDocument(), History: s.history}
}

// Decode decodes a state encoded by Encode.
func Decode(data []byte) (*State, error) {
	var message configv1.State
	if err := proto.Unmarshal(data, &message); err != nil {
		return nil, fmt.Errorf("decode configuration state: %w", err)
	}
	return fromProto(&message)
}

func fromProto(message *configv1.State) (*State, error) {
	s, err := DecodeDocument(message.GetDocument())
	if err != nil {
		return nil, err
	}
	if err := checkHistory(message.GetHistory(), s.Revision); err != nil {
		return nil, err
	}
	s.history = message.GetHistory()
	for _, change := range s.history {
		s.historyBytes += proto.Size(change)
	}
	return s, nil
}

// checkHistory checks that each change follows the one before it and that the
// last one has the given revision.
func checkHistory(history []*configv1.Change, revision uint64) error {
	for i := len(history) - 1; i >= 0; i-- {
		change := history[i]
		if change.GetRevision() != revision || change.GetPrevious() >= revision {
			return fmt.Errorf("configuration history has a gap before revision %d", revision)
		}
		revision = change.GetPrevious()
	}
	return nil
}
