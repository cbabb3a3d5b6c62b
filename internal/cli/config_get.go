package cli

import (
	"io"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"

	"github.com/cuminwing/cuminwing/internal/config"
)

func addConfigGet(r *registry, group *kingpin.CmdClause) {
	c := group.Command("get", "Prints the document in force.")
	example(c, "Prints all or some sections as a document file. The file notes the state that it was read from; \"config apply\" refuses it if somebody else changes a section in the meantime.",
		"cuminwing config get --section rates > rates.json")
	sections := c.Flag("section", "Print only this section; may be repeated.").Strings()
	defaults := c.Flag("defaults", "Write out the defaults of fields that are not set. Such a file notes no state and is not meant to be applied.").Bool()
	r.add(c, r.flags.command(func(cl *client, out, _ io.Writer) (int, error) {
		return cl.printConfig(*sections, *defaults, out)
	}))
}

func (c *client) printConfig(names []string, defaults bool, out io.Writer) (int, error) {
	for _, name := range names {
		if !config.IsSection(config.Section(name)) {
			return ExitRefused, errors.New(name + " is not a section of the document")
		}
	}
	_, current, err := c.fetchSections(names...)
	if err != nil {
		return ExitFailed, err
	}
	f := &config.DocumentFile{Base: make(map[config.Section]config.SectionBase), Sections: make(map[config.Section]config.RawSection)}
	for name, section := range current {
		contents, err := config.ParseRawSection(section.GetContents())
		if err != nil {
			return ExitFailed, err
		}
		f.Sections[name] = contents
		f.Base[name] = config.SectionBase{Revision: section.GetRevision(), EditID: section.GetEditId(), SHA256: contents.Digest()}
	}
	if defaults {
		if f, err = withDefaults(f); err != nil {
			return ExitFailed, err
		}
	}
	data, err := f.JSON()
	if err != nil {
		return ExitFailed, err
	}
	_, err = out.Write(data)
	return ExitOK, err
}

// withDefaults returns the sections of f with the defaults of unset fields
// filled in.
func withDefaults(f *config.DocumentFile) (*config.DocumentFile, error) {
	var d config.Document
	for name, contents := range f.Sections {
		members := make([]string, 0, len(contents))
		for member := range contents {
			members = append(members, member)
		}
		var problems []config.Problem
		if d, problems = d.WithMembers(name, contents, members); len(problems) > 0 {
			return nil, &config.InvalidError{Problems: problems}
		}
	}
	all, err := d.WithDefaults().RawSections()
	if err != nil {
		return nil, err
	}
	out := &config.DocumentFile{Sections: make(map[config.Section]config.RawSection)}
	for name := range f.Sections {
		out.Sections[name] = all[name]
	}
	return out, nil
}
