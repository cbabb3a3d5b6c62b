package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
)

// schemaNode holds the parts of a JSON schema that the reference page shows.
type schemaNode struct {
	Description          string          `json:"description"`
	Type                 string          `json:"type"`
	Ref                  string          `json:"$ref"`
	Default              json.RawMessage `json:"default"`
	Enum                 []string        `json:"enum"`
	Pattern              string          `json:"pattern"`
	Minimum              *json.Number    `json:"minimum"`
	Maximum              *json.Number    `json:"maximum"`
	ExclusiveMinimum     *json.Number    `json:"exclusiveMinimum"`
	ExclusiveMaximum     *json.Number    `json:"exclusiveMaximum"`
	Required             []string        `json:"required"`
	Items                *schemaNode     `json:"items"`
	Properties           schemaMembers   `json:"properties"`
	AdditionalProperties json.RawMessage `json:"additionalProperties"`
	Defs                 schemaMembers   `json:"$defs"`
}

// schemaMembers holds the members of a JSON object in the order of the schema
// file.
type schemaMembers []schemaMember

type schemaMember struct {
	name string
	node schemaNode
}

// UnmarshalJSON implements json.Unmarshaler.
func (m *schemaMembers) UnmarshalJSON(data []byte) error {
	dec := json.NewDecoder(bytes.NewReader(data))
	if _, err := dec.Token(); err != nil {
		return err
	}
	for dec.More() {
		name, err := dec.Token()
		if err != nil {
			return err
		}
		var node schemaNode
		if err := dec.Decode(&node); err != nil {
			return err
		}
		*m = append(*m, schemaMember{fmt.Sprint(name), node})
	}
	return nil
}

func (m schemaMembers) get(name string) schemaNode {
	for _, member := range m {
		if member.name == name {
			return member.node
		}
	}
	return schemaNode{}
}

const refPrefix = "#/$defs/"

// Reference returns the page docs/configuration.md, generated from the schema.
func Reference() (string, error) {
	var root schemaNode
	if err := json.Unmarshal(Schema, &root); err != nil {
		return "", fmt.Errorf("decode embedded schema: %w", err)
	}
	var page strings.Builder
	page.WriteString(referenceHead)
	for _, section := range Sections {
		writeSection(&page, root, string(section))
	}
	return page.String(), nil
}

const referenceHead = `# Configuration

This page is generated from the JSON schema in internal/config/schema.json. To renew it, run ` + "`go test ./internal/config -run TestReferencePage -update`" + `.

The service has one document in JSON with the sections below. Each section has a revision and an owning team. "cuminwing config get" writes sections to a file, "cuminwing config diff" shows what an edited file would change, and "cuminwing config apply" puts it in force. A file may hold only some sections. Its field ` + "`base`" + ` notes the state that the sections were read from; an edit is refused with a conflict if somebody else changed a section since. Examples are examples/verband.json and examples/zielnik.json.

Names of members consist of letters, digits, dots, underscores and hyphens. Fields without a default and not marked as required may be left out. Besides the limits below, a document has to agree between its sections; "cuminwing config validate" prints every problem at once.
`

func writeSection(page *strings.Builder, root schemaNode, name string) {
	section := root.Properties.get(name)
	fmt.Fprintf(page, "\n## %s\n\n%s\n", name, section.Description)
	def := strings.TrimPrefix(section.Ref, refPrefix)
	if section.Ref == "" {
		var member schemaNode
		// The schema test ensures that each section has members.
		_ = json.Unmarshal(section.AdditionalProperties, &member)
		def = strings.TrimPrefix(member.Ref, refPrefix)
	}
	writeObject(page, root, def)
}

func writeObject(page *strings.Builder, root schemaNode, def string) {
	object := root.Defs.get(def)
	page.WriteString("\n| field | type | required | default | limits | meaning |\n|---|---|---|---|---|---|\n")
	var nested []string
	for _, p := range object.Properties {
		required := "no"
		if slices.Contains(object.Required, p.name) {
			required = "yes"
		}
		fmt.Fprintf(page, "| `%s` | %s | %s | %s | %s | %s |\n", p.name, typeName(p.node), required,
			strings.Trim(string(p.node.Default), `"`), limitsOf(p.node), p.node.Description)
		if p.node.Items != nil && p.node.Items.Ref != "" {
			nested = append(nested, strings.TrimPrefix(p.node.Items.Ref, refPrefix))
		}
	}
	for _, def := range nested {
		fmt.Fprintf(page, "\n### %s\n\n%s\n", def, root.Defs.get(def).Description)
		writeObject(page, root, def)
	}
}

func typeName(n schemaNode) string {
	if n.Items == nil {
		return n.Type
	}
	if n.Items.Ref != "" {
		return "list of " + strings.TrimPrefix(n.Items.Ref, refPrefix)
	}
	return "list of " + n.Items.Type
}

func limitsOf(n schemaNode) string {
	var limits []string
	add := func(sign string, bound *json.Number) {
		if bound != nil {
			limits = append(limits, sign+" "+bound.String())
		}
	}
	add(">=", n.Minimum)
	add(">", n.ExclusiveMinimum)
	add("<=", n.Maximum)
	add("<", n.ExclusiveMaximum)
	if len(n.Enum) > 0 {
		limits = append(limits, strings.Join(n.Enum, ", "))
	}
	if n.Pattern != "" {
		limits = append(limits, "`"+n.Pattern+"`")
	}
	return strings.Join(limits, "; ")
}
