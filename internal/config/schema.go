package config

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/santhosh-tekuri/jsonschema/v6"
	"golang.org/x/text/language"
	"golang.org/x/text/message"
)

// Schema is the published JSON schema of the document.
//
//go:embed schema.json
var Schema []byte

// schemaURL only names the schema inside the compiler; nothing is fetched.
const schemaURL = "https://cuminwing.invalid/schema.json"

// sectionDefs names the definition of one member of each section. The section
// limits is one object and has no members of the same shape.
var sectionDefs = map[Section]string{
	SectionModels:     "model",
	SectionWorkspaces: "workspace",
	SectionRates:      "rate",
	SectionRoutes:     "route",
	SectionObjectives: "objective",
	SectionLimits:     "limits",
	SectionZones:      "zone",
}

var compiled = sync.OnceValue(func() map[Section]*jsonschema.Schema {
	document, err := jsonschema.UnmarshalJSON(bytes.NewReader(Schema))
	if err != nil {
		panic(fmt.Sprintf("embedded schema is not JSON: %v", err))
	}
	compiler := jsonschema.NewCompiler()
	if err := compiler.AddResource(schemaURL, document); err != nil {
		panic(fmt.Sprintf("embedded schema is refused: %v", err))
	}
	schemas := make(map[Section]*jsonschema.Schema, len(sectionDefs))
	for section, def := range sectionDefs {
		schemas[section] = compiler.MustCompile(schemaURL + "#/$defs/" + def)
	}
	return schemas
})

var namePattern = sync.OnceValue(func() *jsonschema.Schema {
	document, _ := jsonschema.UnmarshalJSON(bytes.NewReader(Schema))
	compiler := jsonschema.NewCompiler()
	if err := compiler.AddResource(schemaURL, document); err != nil {
		panic(fmt.Sprintf("embedded schema is refused: %v", err))
	}
	return compiler.MustCompile(schemaURL + "#/$defs/name")
})

// CheckMembers checks the named members of a section against the schema and
// returns every problem, sorted. Names that contents lacks are passed over.
func CheckMembers(s Section, contents Contents, names []string) []Problem {
	schema, known := compiled()[s]
	if !known {
		return []Problem{{Path: string(s), Reason: "is not a section of the document"}}
	}
	if s == SectionLimits {
		return sortProblems(checkValue(schema, string(s), contents.JSON()))
	}
	var problems []Problem
	for _, name := range names {
		raw, present := contents[name]
		if !present {
			continue
		}
		if namePattern().Validate(name) != nil {
			problems = append(problems, Problem{Path: string(s) + "." + name, Reason: "is not a valid name: want letters, digits, dots, underscores and hyphens, at most 64"})
		}
		problems = append(problems, checkValue(schema, string(s)+"."+name, raw)...)
	}
	return sortProblems(problems)
}

func checkValue(schema *jsonschema.Schema, path string, raw json.RawMessage) []Problem {
	value, err := jsonschema.UnmarshalJSON(bytes.NewReader(raw))
	if err != nil {
		return []Problem{{Path: path, Reason: err.Error()}}
	}
	if problems := hugeNumbers(path, value); len(problems) > 0 {
		return problems
	}
	var invalid *jsonschema.ValidationError
	if err := schema.Validate(value); !errors.As(err, &invalid) {
		return nil
	}
	return leaves(path, invalid)
}

// maxNumberLength and maxExponent bound numbers before the schema sees them:
// its library computes with exact fractions and panics at exponents of
// millions. A float64 has exponents up to 308.
const (
	maxNumberLength = 64
	maxExponent     = 308
)

// hugeNumbers reports the numbers that no field can hold.
func hugeNumbers(path string, value any) []Problem {
	var problems []Problem
	switch v := value.(type) {
	case json.Number:
		if !boundedNumber(string(v)) {
			problems = []Problem{{Path: path, Reason: "is a number out of range"}}
		}
	case []any:
		for i, item := range v {
			problems = append(problems, hugeNumbers(fmt.Sprintf("%s[%d]", path, i), item)...)
		}
	case map[string]any:
		for name, item := range v {
			problems = append(problems, hugeNumbers(path+"."+name, item)...)
		}
	}
	return problems
}

func boundedNumber(text string) bool {
	if len(text) > maxNumberLength {
		return false
	}
	_, exponent, has := strings.Cut(strings.ToLower(text), "e")
	if !has {
		return true
	}
	n, err := strconv.Atoi(exponent)
	return err == nil && n >= -maxExponent && n <= maxExponent
}

var english = message.NewPrinter(language.English)

// leaves returns the errors that have no cause of their own.
func leaves(path string, e *jsonschema.ValidationError) []Problem {
	if len(e.Causes) == 0 {
		return []Problem{{Path: path + pathSuffix(e.InstanceLocation), Reason: e.ErrorKind.LocalizedString(english)}}
	}
	var problems []Problem
	for _, cause := range e.Causes {
		problems = append(problems, leaves(path, cause)...)
	}
	return problems
}

// pathSuffix writes list indexes in brackets. A member of a document's objects
// is never a number, because field names are fixed below the sections.
func pathSuffix(location []string) string {
	var out string
	for _, step := range location {
		if _, err := strconv.Atoi(step); err == nil {
			out += "[" + step + "]"
			continue
		}
		out += "." + step
	}
	return out
}
