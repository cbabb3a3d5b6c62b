package config

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
)

// SectionBase identifies the state of a section from which a document file was
// read. With it, an edit of the file is accepted only if nobody else has
// changed the section since.
type SectionBase struct {
	// Revision is the revision of the section.
	Revision uint64 `json:"revision"`
	// EditID is the ID of the edit that created this revision.
	EditID string `json:"edit_id,omitempty"`
	// SHA256 is the digest of the contents. A section of the file that still
	// has this digest is not part of the edit.
	SHA256 string `json:"sha256"`
}

// baseField is the field of a document file that holds the bases. It is not a
// section.
const baseField = "base"

// DocumentFile is a document file as operators edit it: some or all sections,
// and the state from which they were read.
type DocumentFile struct {
	// Base holds the state of each section at the time of reading.
	Base map[Section]SectionBase
	// Sections holds the sections that the file contains.
	Sections map[Section]RawSection
}

// ParseDocumentFile decodes a document file. It does not validate the sections.
func ParseDocumentFile(data []byte) (*DocumentFile, error) {
	var raw map[string]json.RawMessage
	if err := json.Unmarshal(data, &raw); err != nil {
		return nil, &InvalidError{[]Problem{syntaxProblem(data, err)}}
	}
	f := &DocumentFile{Sections: make(map[Section]RawSection)}
	var problems []Problem
	for name, value := range raw {
		if name == baseField {
			if err := decodeStrict(value, &f.Base); err != nil {
				problems = append(problems, decodeProblem(baseField, err))
			}
			continue
		}
		if !IsSection(Section(name)) {
			problems = append(problems, Problem{Path: name, Reason: "is not a section of the document"})
			continue
		}
		contents, err := ParseRawSection(value)
		if err != nil {
			problems = append(problems, decodeProblem(name, err))
			continue
		}
		f.Sections[Section(name)] = contents
	}
	if len(problems) > 0 {
		return nil, &InvalidError{sortProblems(problems)}
	}
	return f, nil
}

// syntaxProblem reports a JSON syntax error with its line number.
func syntaxProblem(data []byte, err error) Problem {
	offset := int64(0)
	switch e := err.(type) {
	case *json.SyntaxError:
		offset = e.Offset
	case *json.UnmarshalTypeError:
		return decodeProblem("$", err)
	}
	line := 1 + bytes.Count(data[:min(int(offset), len(data))], []byte("\n"))
	return Problem{Path: "$", Reason: fmt.Sprintf("line %d: %v", line, err)}
}

// Digest returns the hexadecimal SHA-256 of the section's JSON.
func (s RawSection) Digest() string {
	sum := sha256.Sum256(s.JSON())
	return hex.EncodeToString(sum[:])
}

// JSON encodes the file with indentation and with the sections in document
// order.
func (f *DocumentFile) JSON() ([]byte, error) {
	var buf bytes.Buffer
	buf.WriteByte('{')
	writeName := func(name string) {
		if buf.Len() > 1 {
			buf.WriteByte(',')
		}
		fmt.Fprintf(&buf, "%q:", name)
	}
	if len(f.Base) > 0 {
		base, err := json.Marshal(f.Base)
		if err != nil {
			return nil, err
		}
		writeName(baseField)
		buf.Write(base)
	}
	for _, name := range Sections {
		if contents, present := f.Sections[name]; present {
			writeName(string(name))
			buf.Write(contents.JSON())
		}
	}
	buf.WriteByte('}')
	var indented bytes.Buffer
	if err := json.Indent(&indented, buf.Bytes(), "", "  "); err != nil {
		return nil, err
	}
	indented.WriteByte('\n')
	return indented.Bytes(), nil
}

// Document decodes the sections of the file and returns every problem found,
// including invalid references between sections. Sections that are not in the
// file are empty.
func (f *DocumentFile) Document() (*Document, []Problem) {
	var d Document
	var problems []Problem
	decoded := true
	for _, name := range Sections {
		contents, present := f.Sections[name]
		if !present {
			continue
		}
		members := contents.memberNames()
		found := ValidateMembers(name, contents, members)
		next, decodeProblems := d.WithMembers(name, contents, members)
		if len(decodeProblems) > 0 {
			decoded = false
		}
		if len(found) == 0 {
			found = decodeProblems
		}
		d = next
		problems = append(problems, found...)
	}
	// A section with members that were not decoded would cause false problems.
	if decoded {
		problems = appendUnreported(problems, d.Validate())
	}
	return &d, sortProblems(problems)
}

// appendUnreported appends the problems of more at paths that have no problem
// yet.
func appendUnreported(problems, more []Problem) []Problem {
	reported := make(map[string]bool)
	for _, p := range problems {
		reported[p.Path] = true
	}
	for _, p := range more {
		if !reported[p.Path] {
			problems = append(problems, p)
		}
	}
	return problems
}

// ValidateSections returns the problems of each section on its own. It does not
// check references between sections.
func (f *DocumentFile) ValidateSections() []Problem {
	var problems []Problem
	for name, contents := range f.Sections {
		problems = append(problems, ValidateMembers(name, contents, contents.memberNames())...)
	}
	return sortProblems(problems)
}

// HasRequiredSections reports whether the file has every required section.
func (f *DocumentFile) HasRequiredSections() bool {
	for _, name := range []Section{SectionModels, SectionWorkspaces, SectionRates, SectionRoutes, SectionZones} {
		if _, present := f.Sections[name]; !present {
			return false
		}
	}
	return true
}

func (s RawSection) memberNames() []string { return sortedNames(s) }
