package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"sort"
)

// RawSection is one section as raw JSON: its members by name. A RawSection must
// not be modified; Merge returns a new one.
type RawSection map[string]json.RawMessage

// ParseRawSection decodes the JSON object of one section.
func ParseRawSection(data []byte) (RawSection, error) {
	var s RawSection
	if err := json.Unmarshal(data, &s); err != nil {
		return nil, err
	}
	for name, raw := range s {
		compact, err := canonicalize(raw)
		if err != nil {
			return nil, err
		}
		s[name] = compact
	}
	return s, nil
}

// JSON encodes the section with its members sorted by name.
func (s RawSection) JSON() []byte {
	if s == nil {
		return []byte("{}")
	}
	// The members are valid JSON, so encoding cannot fail.
	data, _ := json.Marshal(map[string]json.RawMessage(s))
	return data
}

// Merge applies a JSON merge patch (RFC 7396) to the section. It returns the
// merged section and the sorted names of the members in the patch.
func (s RawSection) Merge(patch []byte) (RawSection, []string, error) {
	var members map[string]json.RawMessage
	if err := json.Unmarshal(patch, &members); err != nil {
		return nil, nil, fmt.Errorf("patch is not a JSON object: %w", err)
	}
	if members == nil {
		return nil, nil, fmt.Errorf("patch is null, want a JSON object")
	}
	merged := maps.Clone(s)
	if merged == nil {
		merged = make(RawSection, len(members))
	}
	changed := make([]string, 0, len(members))
	for name, member := range members {
		changed = append(changed, name)
		if isNull(member) {
			delete(merged, name)
			continue
		}
		value, err := mergeRaw(merged[name], member)
		if err != nil {
			return nil, nil, err
		}
		merged[name] = value
	}
	sort.Strings(changed)
	return merged, changed, nil
}

func mergeRaw(old, patch json.RawMessage) (json.RawMessage, error) {
	change, err := decodeValue(patch)
	if err != nil {
		return nil, err
	}
	var current any
	if len(old) > 0 {
		if current, err = decodeValue(old); err != nil {
			return nil, err
		}
	}
	return encodeValue(mergeTree(current, change))
}

// mergeTree is the function MergePatch of RFC 7396, section 2.
func mergeTree(current, patch any) any {
	members, ok := patch.(map[string]any)
	if !ok {
		return patch
	}
	object, ok := current.(map[string]any)
	if !ok {
		object = make(map[string]any, len(members))
	}
	for name, value := range members {
		if value == nil {
			delete(object, name)
			continue
		}
		object[name] = mergeTree(object[name], value)
	}
	return object
}

// MergePatchTo returns the merge patch that turns s into want, or nil if they
// are equal.
func (s RawSection) MergePatchTo(want RawSection) []byte {
	patch := make(map[string]any)
	for name := range s {
		if _, kept := want[name]; !kept {
			patch[name] = nil
		}
	}
	for name, raw := range want {
		old, known := s[name]
		if known && bytes.Equal(old, raw) {
			continue
		}
		patch[name] = diffRaw(old, raw)
	}
	if len(patch) == 0 {
		return nil
	}
	data, _ := encodeValue(patch)
	return data
}

func diffRaw(old, want json.RawMessage) any {
	target, _ := decodeValue(want)
	if len(old) == 0 {
		return target
	}
	current, _ := decodeValue(old)
	return diffTree(current, target)
}

func diffTree(current, want any) any {
	from, ok := current.(map[string]any)
	to, alsoObject := want.(map[string]any)
	if !ok || !alsoObject {
		return want
	}
	patch := make(map[string]any)
	for name := range from {
		if _, kept := to[name]; !kept {
			patch[name] = nil
		}
	}
	for name, value := range to {
		old, known := from[name]
		if known && equalTree(old, value) {
			continue
		}
		patch[name] = diffTree(old, value)
	}
	return patch
}

func equalTree(a, b any) bool {
	x, _ := encodeValue(a)
	y, _ := encodeValue(b)
	return bytes.Equal(x, y)
}

// canonicalize encodes equal values as equal bytes: sorted members, no white
// space, and numbers as written.
func canonicalize(raw json.RawMessage) (json.RawMessage, error) {
	value, err := decodeValue(raw)
	if err != nil {
		return nil, err
	}
	return encodeValue(value)
}

func decodeValue(raw json.RawMessage) (any, error) {
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.UseNumber()
	var value any
	err := dec.Decode(&value)
	return value, err
}

func encodeValue(value any) (json.RawMessage, error) {
	var buf bytes.Buffer
	enc := json.NewEncoder(&buf)
	enc.SetEscapeHTML(false)
	if err := enc.Encode(value); err != nil {
		return nil, err
	}
	return bytes.TrimSpace(buf.Bytes()), nil
}

func isNull(raw json.RawMessage) bool {
	return bytes.Equal(bytes.TrimSpace(raw), []byte("null"))
}

// AppendKey returns the merge patch that adds a key to a workspace. A merge
// patch replaces lists as a whole, so the patch repeats the existing keys of
// the workspace.
func (s RawSection) AppendKey(workspace string, key Key) ([]byte, error) {
	var entry Workspace
	if raw, known := s[workspace]; known {
		if err := decodeStrict(raw, &entry); err != nil {
			return nil, err
		}
	}
	list := append(entry.Keys[:len(entry.Keys):len(entry.Keys)], key)
	return encodeValue(map[string]any{workspace: map[string]any{"keys": list}})
}
