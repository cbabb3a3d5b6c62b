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

// example sets the long help of a command, with an example at its end.
func example(c *kingpin.CmdClause, help, line string) *kingpin.CmdClause {
	return c.HelpLong(help + "\n\nExample:\n  " + line)
}

func readDocumentFile(name string) (*config.DocumentFile, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, err
	}
	f, err := config.ParseDocumentFile(data)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return f, nil
}

// fetchSections returns the revision and the sections, by name, of the document
// active on the VM. Without arguments it fetches all sections.
func (c *client) fetchSections(sections ...string) (uint64, map[config.Section]*configv1.Section, error) {
	resp, err := callWithRetry(c, func(ctx context.Context, s adminv1.AdminService) (*adminv1.GetConfigResponse, error) {
		return s.GetConfig(ctx, &adminv1.GetConfigRequest{Sections: sections})
	})
	if err != nil {
		return 0, nil, err
	}
	out := make(map[config.Section]*configv1.Section)
	for _, s := range resp.GetDocument().GetSections() {
		out[config.Section(s.GetName())] = s
	}
	return resp.GetDocument().GetRevision(), out, nil
}

// sectionChange is the change that a document file makes to one section.
type sectionChange struct {
	section config.Section
	// base is the revision at which the file was read; if the file does not
	// note it, the current revision.
	base uint64
	// current is the active section, nil if there is none.
	current *configv1.Section
	patch   []byte
	from    config.RawSection
	to      config.RawSection
}

// comparedFile is a document file with the configuration in force, and what it changes there.
type comparedFile struct {
	file    *config.DocumentFile
	current map[config.Section]*configv1.Section
	changes []sectionChange
}

// compareFile reads a document file and compares it with the configuration in force. If it
// fails, it returns the exit code as well.
func (c *client) compareFile(name string) (*comparedFile, int, error) {
	file, err := readDocumentFile(name)
	if err != nil {
		return nil, ExitRefused, err
	}
	_, current, err := c.fetchSections()
	if err != nil {
		return nil, ExitFailed, err
	}
	changes, err := computeChanges(file, current)
	if err != nil {
		return nil, ExitFailed, err
	}
	return &comparedFile{file, current, changes}, ExitOK, nil
}

// computeChanges compares a document file with the active sections. It skips
// sections that the operator has not edited since reading them, even if they
// were changed on the server in the meantime.
func computeChanges(f *config.DocumentFile, current map[config.Section]*configv1.Section) ([]sectionChange, error) {
	var changes []sectionChange
	for _, name := range config.Sections {
		newContents, present := f.Sections[name]
		if !present {
			continue
		}
		base, hasBase := f.Base[name]
		if hasBase && base.SHA256 == newContents.Digest() {
			continue
		}
		currentContents, err := config.ParseRawSection(sectionContents(current[name]))
		if err != nil {
			return nil, fmt.Errorf("section %s of the VM: %w", name, err)
		}
		patch := currentContents.MergePatchTo(newContents)
		if patch == nil {
			continue
		}
		c := sectionChange{section: name, current: current[name], patch: patch, from: currentContents, to: newContents}
		c.base = current[name].GetRevision()
		if hasBase {
			c.base = base.Revision
		}
		changes = append(changes, c)
	}
	return changes, nil
}

func sectionContents(s *configv1.Section) []byte {
	if s == nil {
		return []byte("{}")
	}
	return s.GetContents()
}

// validateMerged validates the document that results from applying the file to
// the current sections.
func validateMerged(f *config.DocumentFile, current map[config.Section]*configv1.Section) error {
	merged := &config.DocumentFile{Sections: make(map[config.Section]config.RawSection)}
	for name, section := range current {
		contents, err := config.ParseRawSection(section.GetContents())
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
