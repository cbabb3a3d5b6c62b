package cli

import (
	"context"
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/cuminwing/cuminwing/internal/config"
	adminv1 "github.com/cuminwing/cuminwing/proto/admin/v1"
	configv1 "github.com/cuminwing/cuminwing/proto/config/v1"
)

func addConfig(r *registry) {
	group := r.app.Command("config", "Works with the service document.")
	addConfigValidate(r, group)
	addConfigGet(r, group)
	addConfigDiff(r, group)
	addConfigApply(r, group)
	addConfigHistory(r, group)
}

// example adds an example to the help of a command.
func example(c *kingpin.CmdClause, help, line string) *kingpin.CmdClause {
	return c.HelpLong(help + "\n\nExample:\n  " + line)
}

func readFile(name string) (*config.File, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, err
	}
	f, err := config.ParseFile(data)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return f, nil
}

// inForce returns the sections that the VM has in force, by name.
func (c *client) inForce(sections ...string) (uint64, map[config.Section]*configv1.Section, error) {
	answer, err := call(c, func(ctx context.Context, s adminv1.AdminService) (*adminv1.GetConfigResponse, error) {
		return s.GetConfig(ctx, &adminv1.GetConfigRequest{Sections: sections})
	})
	if err != nil {
		return 0, nil, err
	}
	out := make(map[config.Section]*configv1.Section)
	for _, s := range answer.GetDocument().GetSections() {
		out[config.Section(s.GetName())] = s
	}
	return answer.GetDocument().GetRevision(), out, nil
}

// change is what a document file changes in one section.
type change struct {
	section config.Section
	base    uint64
	// current is the section in force, nil for none.
	current *configv1.Section
	patch   []byte
	from    config.Contents
	to      config.Contents
}

// changesOf compares a file with what is in force. Sections that the operator
// left as they were read are no changes, whatever happened to them since.
func changesOf(f *config.File, current map[config.Section]*configv1.Section) ([]change, error) {
	var changes []change
	for _, name := range config.Sections {
		want, present := f.Sections[name]
		if !present {
			continue
		}
		base, hasBase := f.Base[name]
		if hasBase && base.SHA256 == want.Digest() {
			continue
		}
		have, err := config.ParseContents(contentsOf(current[name]))
		if err != nil {
			return nil, fmt.Errorf("section %s of the VM: %w", name, err)
		}
		patch := have.Diff(want)
		if patch == nil {
			continue
		}
		c := change{section: name, current: current[name], patch: patch, from: have, to: want}
		c.base = current[name].GetRevision()
		if hasBase {
			c.base = base.Revision
		}
		changes = append(changes, c)
	}
	return changes, nil
}

func contentsOf(s *configv1.Section) []byte {
	if s == nil {
		return []byte("{}")
	}
	return s.GetContents()
}

// checkMerged validates the document that the file would give.
func checkMerged(f *config.File, current map[config.Section]*configv1.Section) error {
	merged := &config.File{Sections: make(map[config.Section]config.Contents)}
	for name, section := range current {
		contents, err := config.ParseContents(section.GetContents())
		if err != nil {
			return err
		}
		merged.Sections[name] = contents
	}
	for name, contents := range f.Sections {
		if base, ok := f.Base[name]; ok && base.SHA256 == contents.Digest() {
			continue
		}
		merged.Sections[name] = contents
	}
	if _, problems := merged.Document(); len(problems) > 0 {
		return &config.InvalidError{Problems: problems}
	}
	return nil
}
