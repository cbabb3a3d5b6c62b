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

// schemaURL identifies the schema inside the compiler. Nothing is fetched from
// it.
const schemaURL = "https://cuminwing.invalid/schema.json"

// sectionDefs maps each section to the schema definition of its members. The
// section limits is a single object; its definition describes the whole
// section.
var sectionDefs = map[Section]string{
	SectionModels:     "model",
	SectionWorkspaces: "workspace",
	SectionRates:      "rate",
	SectionRoutes:     "route",
	SectionObjectives: "objective",
	SectionLimits:     "limits",
	SectionZones:      "zone",
}

var compiledSchemas = sync.OnceValue(func() map[Section]*jsonschema.Schema {
	document, err := jsonschema.UnmarshalJSON(bytes.NewReader(Schema))
	if err != nil {
		panic(fmt.Sprintf("embedded schema is not JSON: %v", err))
	}
	compiler := jsonschema.NewCompiler()
	if err := compiler.AddResource(schemaURL, document); err != nil {
		panic(fmt.Sprintf("load embedded schema: %v", err))
	}
	schemas := make(map[Section]*jsonschema.Schema, len(sectionDefs))
	for section, def := range sectionDefs {
		schemas[section] = compiler.MustCompile(schemaURL + "#/$defs/" + def)
	}
	return schemas
})

var nameSchema = sync.OnceValue(func() *jsonschema.Schema {
	document, _ := jsonschema.UnmarshalJSON(bytes.NewReader(Schema))
	compiler := jsonschema.NewCompiler()
	if err := compiler.AddResource(schemaURL, document); err != nil {
		panic(fmt.Sprintf("load embedded schema: %v", err))
	}
	return compiler.MustCompile(schemaURL + "#/$defs/name")
})

// ValidateMembers checks the named members of a section against the schema and
// returns every problem, sorted. It skips names that contents does not have.
func ValidateMembers(s Section, contents RawSection, names []string) []Problem {
	schema, known := compiledSchemas()[s]
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
		if nameSchema().Validate(name) != nil {
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
	if problems := outOfRangeNumbers(path, value); len(problems) > 0 {
		return problems
	}
	var invalid *jsonschema.ValidationError
	if err := schema.Validate(value); !errors.As(err, &invalid) {
		return nil
	}
	return leafProblems(path, invalid)
}

// maxNumberLength and maxExponent limit the numbers that are passed to the
// schema library, which computes with exact fractions and panics at exponents
// of millions. The exponents of a float64 go up to 308.
const (
	maxNumberLength = 64
	maxExponent     = 308
)

// outOfRangeNumbers returns a problem for every number that exceeds these
// limits.
func outOfRangeNumbers(path string, value any) []Problem {
	var problems []Problem
	switch v := value.(type) {
	case json.Number:
		if !numberInRange(string(v)) {
			problems = []Problem{{Path: path, Reason: "is a number out of range"}}
		}
	case []any:
		for i, item := range v {
			problems = append(problems, outOfRangeNumbers(fmt.Sprintf("%s[%d]", path, i), item)...)
		}
	case map[string]any:
		for name, item := range v {
			problems = append(problems, outOfRangeNumbers(path+"."+name, item)...)
		}
	}
	return problems
}

func numberInRange(text string) bool {
	if len(text) > maxNumberLength {
		return false
	}
	_, exponent, hasExponent := strings.Cut(strings.ToLower(text), "e")
	if !hasExponent {
		return true
	}
	n, err := strconv.Atoi(exponent)
	return err == nil && n >= -maxExponent && n <= maxExponent
}

var englishPrinter = message.NewPrinter(language.English)

// leafProblems returns the validation errors that have no further causes.
func leafProblems(path string, e *jsonschema.ValidationError) []Problem {
	if len(e.Causes) == 0 {
		return []Problem{{Path: path + pathSuffix(e.InstanceLocation), Reason: e.ErrorKind.LocalizedString(englishPrinter)}}
	}
	var problems []Problem
	for _, cause := range e.Causes {
		problems = append(problems, leafProblems(path, cause)...)
	}
	return problems
}

// pathSuffix formats the location of a value below a member and puts list
// indexes in brackets. A numeric step is always a list index, because the field
// names below a section are fixed.
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
