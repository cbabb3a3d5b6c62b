package config

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
)

// Base says which state of a section a document file was read from. With it an
// edit of the file is accepted only if nobody else changed the section.
type Base struct {
	// Revision is the revision of the section.
	Revision uint64 `json:"revision"`
	// EditID names the edit that set it.
	EditID string `json:"edit_id,omitempty"`
	// SHA256 is the digest of the contents; a section that still has it is
	// not part of the edit.
	SHA256 string `json:"sha256"`
}

// baseField holds the bases in a document file. It is no section.
const baseField = "base"

// File is a document file as operators edit it: all or some sections, and the
// state that they were read from.
type File struct {
	// Base holds the state of each section when it was read.
	Base map[Section]Base
	// Sections holds the sections in the file.
	Sections map[Section]Contents
}

// ParseFile decodes a document file without checking the sections.
func ParseFile(data []byte) (*File, error) {
	var raw map[string]json.RawMessage
	if err := json.Unmarshal(data, &raw); err != nil {
		return nil, &InvalidError{[]Problem{syntaxProblem(data, err)}}
	}
	f := &File{Sections: make(map[Section]Contents)}
	var problems []Problem
	for name, value := range raw {
		if name == baseField {
			if err := decodeStrict(value, &f.Base); err != nil {
				problems = append(problems, decodeProblem(baseField, err))
			}
			continue
		}
		if !KnownSection(Section(name)) {
			problems = append(problems, Problem{Path: name, Reason: "is not a section of the document"})
			continue
		}
		contents, err := ParseContents(value)
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

// syntaxProblem names the line of a syntax error.
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

// Digest identifies the contents of a section.
func (c Contents) Digest() string {
	sum := sha256.Sum256(c.JSON())
	return hex.EncodeToString(sum[:])
}

// JSON encodes the file, indented and with the sections in document order.
func (f *File) JSON() ([]byte, error) {
	var buf bytes.Buffer
	buf.WriteByte('{')
	separate := func(name string) {
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
		separate(baseField)
		buf.Write(base)
	}
	for _, name := range Sections {
		if contents, present := f.Sections[name]; present {
			separate(string(name))
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
// also between sections. Sections that the file lacks are empty.
func (f *File) Document() (*Document, []Problem) {
	var d Document
	var problems []Problem
	decoded := true
	for _, name := range Sections {
		contents, present := f.Sections[name]
		if !present {
			continue
		}
		members := contents.names()
		found := CheckMembers(name, contents, members)
		next, typed := d.WithMembers(name, contents, members)
		if len(typed) > 0 {
			decoded = false
		}
		if len(found) == 0 {
			found = typed
		}
		d = next
		problems = append(problems, found...)
	}
	// Sections that lack a member would give problems that are not real.
	if decoded {
		problems = addNew(problems, d.Validate())
	}
	return &d, sortProblems(problems)
}

// addNew adds the problems at paths that have none yet.
func addNew(problems, more []Problem) []Problem {
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

// CheckSections returns the problems of each section alone.
func (f *File) CheckSections() []Problem {
	var problems []Problem
	for name, contents := range f.Sections {
		problems = append(problems, CheckMembers(name, contents, contents.names())...)
	}
	return sortProblems(problems)
}

// Whole reports whether the file has every section that a document needs.
func (f *File) Whole() bool {
	for _, name := range []Section{SectionModels, SectionWorkspaces, SectionRates, SectionRoutes, SectionZones} {
		if _, present := f.Sections[name]; !present {
			return false
		}
	}
	return true
}

func (c Contents) names() []string { return sortedNames(c) }
