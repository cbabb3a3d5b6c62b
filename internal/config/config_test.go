package config

import (
	"encoding/json"
	"reflect"
	"strings"
	"testing"
)

// Guards against a merge that differs from RFC 7396. The cases are those of its
// appendix A that start from an object, nested one level deeper.
func TestMergeFollowsRFC7396(t *testing.T) {
	for _, c := range []struct{ old, patch, want string }{
		{`{"a":"b"}`, `{"a":"c"}`, `{"a":"c"}`},
		{`{"a":"b"}`, `{"b":"c"}`, `{"a":"b","b":"c"}`},
		{`{"a":"b"}`, `{"a":null}`, `{}`},
		{`{"a":"b","b":"c"}`, `{"a":null}`, `{"b":"c"}`},
		{`{"a":["b"]}`, `{"a":"c"}`, `{"a":"c"}`},
		{`{"a":"c"}`, `{"a":["b"]}`, `{"a":["b"]}`},
		{`{"a":{"b":"c"}}`, `{"a":{"b":"d","c":null}}`, `{"a":{"b":"d"}}`},
		{`{"a":[{"b":"c"}]}`, `{"a":[1]}`, `{"a":[1]}`},
		{`{"e":null}`, `{"a":1}`, `{"a":1,"e":null}`},
		{`{}`, `{"a":{"bb":{"ccc":null}}}`, `{"a":{"bb":{}}}`},
		{`["a","b"]`, `["c","d"]`, `["c","d"]`},
		{`{"a":"foo"}`, `"bar"`, `"bar"`},
		{`[1,2]`, `{"a":"b","c":null}`, `{"a":"b"}`},
	} {
		section, err := ParseRawSection([]byte(`{"m":` + c.old + `}`))
		if err != nil {
			t.Fatal(err)
		}
		merged, _, err := section.Merge([]byte(`{"m":` + c.patch + `}`))
		if err != nil || string(merged["m"]) != c.want {
			t.Errorf("merging %s with patch %s gives %s (%v), want %s", c.old, c.patch, merged["m"], err, c.want)
		}
	}
}

// Guards against a merge patch that, applied to the current section, does not
// produce the section in the operator's file.
func FuzzDiffThenMergeGivesTarget(f *testing.F) {
	f.Add(`{"a":{"keys":[1],"w":2}}`, `{"a":{"keys":[1,2]},"b":{"x":{"y":1}}}`)
	f.Add(`{"a":1}`, `{}`)
	f.Add(`{"a":{"b":{"c":1}}}`, `{"a":{"b":7}}`)
	f.Fuzz(func(t *testing.T, from, to string) {
		old, err := ParseRawSection([]byte(from))
		if err != nil || strings.Contains(to, "null") {
			return
		}
		want, err := ParseRawSection([]byte(to))
		if err != nil {
			return
		}
		patch := old.MergePatchTo(want)
		if patch == nil {
			patch = []byte("{}")
		}
		got, _, err := old.Merge(patch)
		if err != nil || string(got.JSON()) != string(want.JSON()) {
			t.Fatalf("merging %s with patch %s gives %s (%v), want %s", from, patch, got.JSON(), err, want.JSON())
		}
	})
}

// Guards against a document file that crashes the parser or is accepted but
// cannot be encoded again.
func FuzzParseFile(f *testing.F) {
	f.Add([]byte(`{"models":{"m":{"serving_version":"v1"}},"base":{"models":{"revision":3,"sha256":""}}}`))
	f.Add([]byte(`{"limits":{"max_body_bytes":-1},"zones":null}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		file, err := ParseDocumentFile(data)
		if err != nil {
			return
		}
		file.Document()
		if _, err := file.JSON(); err != nil {
			t.Fatalf("cannot encode an accepted file: %v", err)
		}
	})
}

// Guards against a validation that stops at the first problem, so that an
// operator has to fix a document one problem at a time.
func TestAllProblemsAreReportedAtOnce(t *testing.T) {
	_, err := Parse([]byte(`{
		"models": {"m": {"serving_version": "v1", "ordered_version": "v1", "block_tokens": 0}},
		"workspaces": {"w": {"on_unconfirmed_keys": "maybe", "keys": [{"id": "a", "sha256": "00"}, {"id": "a", "sha256": "01"}]}},
		"rates": {"other": {"rate_tokens_per_second": -1, "burst_tokens": 10}},
		"routes": {"r": {"kind": "model", "model": "missing", "run": "at-most-once", "hedge_after_ms": 5}},
		"zones": {"z": {"region": "r", "vm_slots": 0}}
	}`))
	if err == nil {
		t.Fatal("Parse accepted an invalid document")
	}
	for _, path := range []string{
		"models.m.ordered_version", "models.m.block_tokens", "workspaces.w.on_unconfirmed_keys",
		"workspaces.w.keys[0].sha256", "workspaces.w.keys[1].id", "rates.other.rate_tokens_per_second", "rates.other: workspace",
		"rates: workspace \"w\"", "routes.r.model", "routes.r.hedge_after_ms", "zones.z.vm_slots",
	} {
		if !strings.Contains(err.Error(), "\n  "+path) {
			t.Errorf("no problem reported at %s in:\n%v", path, err)
		}
	}
}

// Guards against a number that makes the schema library panic or compute for
// hours, which would stop every voter that applies the edit.
func TestHugeNumbersAreRefused(t *testing.T) {
	for _, number := range []string{"1e9999999", "1e-9999999", "1E+400", strings.Repeat("9", 5000)} {
		contents, err := ParseRawSection([]byte(`{"w":{"burst_tokens":1,"rate_tokens_per_second":` + number + `,"new":[` + number + `]}}`))
		if err != nil {
			t.Fatal(err)
		}
		if problems := ValidateMembers(SectionRates, contents, []string{"w"}); len(problems) != 2 {
			t.Errorf("number %.20s: problems %v, want two", number, problems)
		}
	}
}

// Guards against a schema that lacks a field, has a field that the types lack,
// or states a default other than the one the daemon uses.
func TestSchemaMatchesTypes(t *testing.T) {
	var schema struct {
		Defs map[string]struct {
			Properties map[string]struct {
				Default any `json:"default"`
			} `json:"properties"`
		} `json:"$defs"`
	}
	if err := json.Unmarshal(Schema, &schema); err != nil {
		t.Fatal(err)
	}
	d := Document{
		Models: map[string]Model{"x": {}}, Workspaces: map[string]Workspace{"x": {}},
		Rates: map[string]Rate{"x": {}}, Routes: map[string]Route{"x": {}},
	}.WithDefaults()
	for def, value := range map[string]any{
		"model": d.Models["x"], "workspace": d.Workspaces["x"], "rate": d.Rates["x"], "route": d.Routes["x"],
		"limits": d.Limits, "key": Key{}, "objective": Objective{}, "zone": Zone{},
	} {
		properties := schema.Defs[def].Properties
		v := reflect.ValueOf(value)
		for i := range v.NumField() {
			name, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("json"), ",")
			property, present := properties[name]
			if !present {
				t.Errorf("schema lacks %s.%s", def, name)
			}
			want, _ := json.Marshal(v.Field(i).Interface())
			got, _ := json.Marshal(property.Default)
			if !v.Field(i).IsZero() && string(got) != string(want) {
				t.Errorf("default of %s.%s is %s in the schema and %s in the code", def, name, got, want)
			}
			delete(properties, name)
		}
		for name := range properties {
			t.Errorf("schema has %s.%s, which the code lacks", def, name)
		}
	}
}
