package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"

	"github.com/alecthomas/kingpin/v2"

	"github.com/cuminwing/cuminwing/internal/config"
)

func addConfigDiff(r *registry, group *kingpin.CmdClause) {
	c := group.Command("diff", "Shows what a document file would change.")
	example(c, "Compares a document file with the configuration in force and validates the merged document. With --output json it prints the merge patch of each section.",
		"cuminwing config diff service.json --server 10.0.0.1:7005")
	file := c.Arg("file", "Document file.").Required().String()
	r.add(c, r.flags.command(func(cl *client, out, _ io.Writer) (int, error) { return cl.diff(*file, out) }))
}

func (c *client) diff(name string, out io.Writer) (int, error) {
	compared, code, err := c.compareFile(name)
	if err != nil {
		return code, err
	}
	if err := c.printChanges(compared.changes, out); err != nil {
		return ExitFailed, err
	}
	if err := validateMerged(compared.file, compared.current); err != nil {
		return ExitRefused, err
	}
	for _, ch := range compared.changes {
		if ch.base < ch.current.GetRevision() {
			return ExitConflict, conflictError(ch)
		}
	}
	return ExitOK, nil
}

func (c *client) printChanges(changes []sectionChange, out io.Writer) error {
	if c.output == outputJSON {
		patches := make(map[config.Section]json.RawMessage)
		for _, ch := range changes {
			patches[ch.section] = ch.patch
		}
		return printJSON(out, patches)
	}
	t := newTable(out, "SECTION", "NAME", "CHANGE")
	for _, ch := range changes {
		var patch map[string]json.RawMessage
		if err := json.Unmarshal(ch.patch, &patch); err != nil {
			return err
		}
		for _, name := range slices.Sorted(maps.Keys(patch)) {
			t.row(string(ch.section), name, describeChange(ch, name, patch[name]))
		}
	}
	t.flush()
	return nil
}

func describeChange(ch sectionChange, name string, patch json.RawMessage) string {
	_, before := ch.from[name]
	_, after := ch.to[name]
	switch {
	case !after:
		return "removed"
	case !before:
		return "added " + string(patch)
	}
	return "changed " + string(patch)
}

func conflictError(ch sectionChange) error {
	return fmt.Errorf("section %s was changed to revision %d by edit %s; the file was read at revision %d",
		ch.section, ch.current.GetRevision(), ch.current.GetEditId(), ch.base)
}
