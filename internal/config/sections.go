package config

import (
	"bytes"
	"encoding/json"
	"io"
	"maps"
	"slices"

	"github.com/cockroachdb/errors"
)

// IsSection reports whether s is a section of the document.
func IsSection(s Section) bool { return slices.Contains(Sections, s) }

// WithMembers returns a copy of d in which the named members of a section are
// those in contents. It decodes only these members, so that a small edit of a
// large section is cheap.
func (d Document) WithMembers(s Section, contents RawSection, names []string) (Document, []Problem) {
	var problems []Problem
	switch s {
	case SectionModels:
		d.Models, problems = withEntries(d.Models, s, contents, names)
	case SectionWorkspaces:
		d.Workspaces, problems = withEntries(d.Workspaces, s, contents, names)
	case SectionRates:
		d.Rates, problems = withEntries(d.Rates, s, contents, names)
	case SectionRoutes:
		d.Routes, problems = withEntries(d.Routes, s, contents, names)
	case SectionObjectives:
		d.Objectives, problems = withEntries(d.Objectives, s, contents, names)
	case SectionZones:
		d.Zones, problems = withEntries(d.Zones, s, contents, names)
	case SectionLimits:
		d.Limits, problems = decodeLimits(contents)
	default:
		problems = []Problem{{Path: string(s), Reason: "is not a section of the document"}}
	}
	return d, problems
}

func withEntries[T any](entries map[string]T, s Section, contents RawSection, names []string) (map[string]T, []Problem) {
	entries = maps.Clone(entries)
	if entries == nil {
		entries = make(map[string]T, len(names))
	}
	var problems []Problem
	for _, name := range names {
		raw, present := contents[name]
		if !present {
			delete(entries, name)
			continue
		}
		var entry T
		if err := decodeStrict(raw, &entry); err != nil {
			problems = append(problems, decodeProblem(string(s)+"."+name, err))
			continue
		}
		entries[name] = entry
	}
	return entries, problems
}

func decodeLimits(contents RawSection) (Limits, []Problem) {
	var limits Limits
	if err := decodeStrict(contents.JSON(), &limits); err != nil {
		return limits, []Problem{decodeProblem(string(SectionLimits), err)}
	}
	return limits, nil
}

func decodeStrict(raw json.RawMessage, v any) error {
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return err
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return errors.New("has more than one JSON value")
	}
	return nil
}

func decodeProblem(path string, err error) Problem {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		if typeErr.Field != "" {
			path += "." + typeErr.Field
		}
		return Problem{Path: path, Reason: "is a " + typeErr.Value + ", want a " + typeErr.Type.String()}
	}
	return Problem{Path: path, Reason: err.Error()}
}

// RawSections encodes d as one raw JSON object per section.
func (d Document) RawSections() (map[Section]RawSection, error) {
	data, err := json.Marshal(d)
	if err != nil {
		return nil, err
	}
	return SplitRawSections(data)
}

// SplitRawSections splits an encoded document into its raw sections.
func SplitRawSections(data []byte) (map[Section]RawSection, error) {
	var raw map[Section]json.RawMessage
	if err := json.Unmarshal(data, &raw); err != nil {
		return nil, err
	}
	sections := make(map[Section]RawSection, len(raw))
	for s, value := range raw {
		if isNull(value) {
			continue
		}
		contents, err := ParseRawSection(value)
		if err != nil {
			return nil, &InvalidError{[]Problem{{Path: string(s), Reason: err.Error()}}}
		}
		sections[s] = contents
	}
	return sections, nil
}
